package cfapp

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"cranberryford/internal/cfagent"
	"cranberryford/internal/cfentry"
	"cranberryford/pkg/cfconfig"
	"cranberryford/pkg/cfcore/cflog"
	"cranberryford/pkg/cfcore/cfvm"
	"cranberryford/pkg/cferror"
)

// logTimeout limits one request to the platform's log.
const logTimeout = 2 * time.Second

// Role is an entry, agent, job entry or job agent that is ready to run.
type Role struct {
	run           func(context.Context) error
	startShutdown func()
	// cleanup closes the role's dependencies after run has returned.
	cleanup func()
	// reload applies changed settings. It is nil for a role that cannot change its settings
	// while it runs.
	reload func(cfg any)
	log    zerolog.Logger
	// Entry is set for an entry and Agent for an agent. Both are nil for a job entry and a
	// job agent.
	Entry *cfentry.Entry
	Agent *cfagent.Agent
}

// Run runs the role until it ends. A value on leave, or the closing of leave, starts a
// graceful shutdown. When ctx is done, the role ends at once.
func (r *Role) Run(ctx context.Context, leave <-chan struct{}) error {
	defer r.cleanup()
	return runUntilShutdown(ctx, leave, r.startShutdown, r.run)
}

// Reload applies settings that were read again. Settings that a running role cannot change
// stay as they are. err is the error of reading the settings. If err is set, Reload logs
// err and changes nothing.
func (r *Role) Reload(cfg any, err error) {
	if err != nil {
		r.log.Error().Err(err).Msg("cannot reload settings; the previous ones stay in force")
		return
	}
	r.log.Info().Msg("settings file reloaded; only settings that a running role can change take effect")
	if r.reload != nil {
		r.reload(cfg)
	}
}

// NewEntry returns an entry that already listens on its addresses.
func NewEntry(ctx context.Context, d Deps, cfg cfconfig.Entry) (*Role, error) {
	common, metrics, closeCommon, err := NewCommon(d, "entry", cfg.Name, cfg.LogLevel)
	if err != nil {
		return nil, err
	}
	platformLog, closeLog := cflog.New(cfg.Log, cfg.Stream, cfg.Source, logTimeout)
	e, closeEntry, err := cfentry.New(ctx, common, cfg, platformLog, metrics)
	if err != nil {
		closeLog()
		closeCommon()
		return nil, cferror.Wrap("create entry", KindStart, err)
	}
	return &Role{
		run: e.Run, startShutdown: e.Leave, Entry: e, log: common.Log,
		cleanup: func() { closeEntry(); closeLog(); closeCommon() },
	}, nil
}

// NewAgent returns an agent that already listens on its addresses.
func NewAgent(ctx context.Context, d Deps, cfg cfconfig.Agent) (*Role, error) {
	common, metrics, closeCommon, err := NewCommon(d, "agent", cfg.Worker, cfg.LogLevel)
	if err != nil {
		return nil, err
	}
	vm, closeVM := cfvm.New(cfg.VM, cfg.VMTimeout)
	a, closeAgent, err := cfagent.New(ctx, common, cfg, vm, metrics)
	if err != nil {
		closeVM()
		closeCommon()
		return nil, cferror.Wrap("create agent", KindStart, err)
	}
	return &Role{
		run: a.Run, startShutdown: a.Leave, Agent: a, log: common.Log,
		cleanup: func() { closeAgent(); closeVM(); closeCommon() },
	}, nil
}
