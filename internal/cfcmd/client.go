package cfcmd

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"cranberryford/internal/cfapi"
	"cranberryford/pkg/cferror"
)

// envToken is the environment variable with the operator's token.
const envToken = "CRANBERRYFORD_TOKEN"

// client is the common part of the operators' commands: their shared flags and output.
type client struct {
	*output
	entryAddr string
	tokenFile string
	json      bool
	timeout   time.Duration
}

// clientHelp ends the usage text of each operators' command.
const clientHelp = `The token comes from -token-file, or from the environment variable
CRANBERRYFORD_TOKEN.
` + exitHelp

// SetFlags adds the flags that all operators' commands have.
func (c *client) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.entryAddr, "entry", "127.0.0.1:7001", "an entry's Operators address")
	f.StringVar(&c.tokenFile, "token-file", "", "file with the operator's token")
	f.BoolVar(&c.json, "json", false, "print JSON")
	f.DurationVar(&c.timeout, "timeout", 10*time.Second, "time to wait for the entry")
}

// tokenSource is the operator's token that a cfapi.Client sends with each request.
type tokenSource string

// Token implements cfapi.SecuritySource.
func (t tokenSource) Token(context.Context, cfapi.OperationName) (cfapi.Token, error) {
	return cfapi.Token{Token: string(t)}, nil
}

// connect returns a client for the operators' API of the entry that the flags name.
func (c *client) connect() (*cfapi.Client, error) {
	token := []byte(os.Getenv(envToken))
	if c.tokenFile != "" {
		var err error
		if token, err = os.ReadFile(c.tokenFile); err != nil {
			return nil, cferror.Wrap("read operator's token", KindUsage, err)
		}
	}
	token = bytes.TrimSpace(token)
	if len(token) == 0 {
		return nil, cferror.New("read operator's token", KindUsage, "give -token-file, or set %s", envToken)
	}
	api, err := cfapi.NewClient("http://"+c.entryAddr, tokenSource(token), cfapi.WithClient(&http.Client{Timeout: c.timeout}))
	return api, cferror.Wrap("create API client", KindUsage, err)
}

// run connects to the entry and calls f. It prints any error and returns the exit code.
func (c *client) run(ctx context.Context, f func(context.Context, *cfapi.Client) error) subcommands.ExitStatus {
	api, err := c.connect()
	if err != nil {
		return c.fail(err)
	}
	if err := f(ctx, api); err != nil {
		return c.fail(c.classify(err))
	}
	return subcommands.ExitSuccess
}

// classify converts an error of an API call to an Error, whose kind determines the exit
// code. It returns an error that is already an Error unchanged.
func (c *client) classify(err error) error {
	var problem *cfapi.ProblemStatusCode
	var cmdErr *Error
	switch {
	case errors.As(err, &cmdErr):
		return err
	case !errors.As(err, &problem):
		return cferror.Wrap("call operators' API at "+c.entryAddr, KindUnreachable, err)
	}
	kind := KindFailed
	switch problem.Response.Kind {
	case cfapi.ProblemKindInvalid, cfapi.ProblemKindConflict, cfapi.ProblemKindNotFound:
		kind = KindRefused
	case cfapi.ProblemKindUnknown:
		kind = KindOutcomeUnknown
	}
	return cferror.New("call operators' API at "+c.entryAddr, kind, "%s", problem.Response.Message)
}

// printJSON prints a value as indented JSON.
func (c *client) printJSON(v any) error {
	enc := json.NewEncoder(c.Out)
	enc.SetIndent("", "  ")
	return cferror.Wrap("print JSON", KindFailed, enc.Encode(v))
}
