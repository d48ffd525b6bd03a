// Package cfapp builds and runs the roles of a process: entry, agent, job entry and job
// agent. It creates the dependencies of a role from the role's settings.
package cfapp

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"cranberryford/pkg/cfcommon"
	"cranberryford/pkg/cferror"
	"cranberryford/pkg/cfrecord"
	"cranberryford/pkg/cfwire"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindKey means that the shared key is missing, unreadable or too short.
	KindKey Kind = "no usable key"
	// KindSettings means that a settings file cannot be read.
	KindSettings Kind = "cannot read settings"
	// KindStart means that a part of the process cannot start.
	KindStart Kind = "cannot start"
)

// Error is the error type of this package.
type Error = cferror.Error[Kind]

// EnvSharedKey is the environment variable with the shared key.
const EnvSharedKey = "CRANBERRYFORD_KEY"

// minKeyBytes is the minimum length of the shared key.
const minKeyBytes = 16

// metricsInterval is the time between two updates of the metrics endpoint.
const metricsInterval = time.Second

// ReadKey reads the shared key from a file, or from the environment variable EnvSharedKey
// if file is empty. The error never contains the key.
func ReadKey(file string) (cfwire.Key, error) {
	data := []byte(os.Getenv(EnvSharedKey))
	source := "environment variable " + EnvSharedKey
	if file != "" {
		var err error
		if data, err = os.ReadFile(file); err != nil {
			return cfwire.Key{}, cferror.Wrap("read shared key", KindKey, err)
		}
		source = "file " + file
	}
	data = bytes.TrimSpace(data)
	if len(data) < minKeyBytes {
		return cfwire.Key{}, cferror.New("read shared key", KindKey, "%s has %d bytes; at least %d are needed", source, len(data), minKeyBytes)
	}
	return cfwire.NewKey(data), nil
}

// Deps are the dependencies that a process passes to each role it creates.
type Deps struct {
	Clock clockwork.Clock
	// Logs receives the log lines.
	Logs io.Writer
	Key  cfwire.Key
	// Seed is the seed from which the roles derive their random numbers.
	Seed uint64
}

// NewCommon returns the common dependencies of one role and the handler of its metrics
// endpoint. role and node become part of each log line, and level is the lowest level that
// is logged. The returned function writes the queued log lines and stops the reporting of
// metrics.
func NewCommon(d Deps, role, node, level string) (*cfcommon.Common, http.Handler, func(), error) {
	lvl, err := zerolog.ParseLevel(level)
	if err != nil {
		return nil, nil, nil, cferror.Wrap("parse log level", KindStart, err)
	}
	codec, err := cfrecord.NewCodec()
	if err != nil {
		return nil, nil, nil, cferror.Wrap("create record codec", KindStart, err)
	}
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: newRegistry()})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "cranberryford", Tags: map[string]string{"role": role},
		CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, metricsInterval)
	logs, closeLogs := nonBlockingLogs(d.Logs, scope)
	c := &cfcommon.Common{
		Log:   zerolog.New(logs).Level(lvl).With().Timestamp().Str("Role", role).Str("Node", node).Logger(),
		Clock: d.Clock, Scope: scope, Codec: codec, Key: d.Key, Seed: d.Seed,
	}
	return c, reporter.HTTPHandler(), func() { closeLogs(); _ = closer.Close() }, nil
}

// runUntilShutdown runs a role until run returns. A value on leave, or the closing of
// leave, makes runUntilShutdown call startShutdown. When ctx is done, run must end the role
// at once.
func runUntilShutdown(ctx context.Context, leave <-chan struct{}, startShutdown func(), run func(context.Context) error) error {
	done := make(chan struct{})
	go func() {
		select {
		case <-leave:
			startShutdown()
		case <-done:
		}
	}()
	defer close(done)
	return run(ctx)
}
