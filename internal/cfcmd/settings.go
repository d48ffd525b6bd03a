package cfcmd

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"

	"github.com/google/subcommands"

	"cranberryford/pkg/cfconfig"
	"cranberryford/pkg/cferror"
	"cranberryford/pkg/cfjson"
)

// settingsCmd checks a settings file, prints it or lists the keys of all settings.
type settingsCmd struct {
	*output
	markdown bool
}

// Name implements subcommands.Command.
func (*settingsCmd) Name() string { return "settings" }

// Synopsis implements subcommands.Command.
func (*settingsCmd) Synopsis() string { return "check and show settings" }

// Usage implements subcommands.Command.
func (*settingsCmd) Usage() string {
	return `settings check ROLE FILE: list all faults of a settings file
settings print ROLE FILE: print the effective settings, defaults included
settings [-markdown] keys ROLE: print every key with its default, unit and meaning
ROLE is entry, agent, job-entry or job-agent.
Example: cranberryford settings check entry samples/granite-spring/entry.jsonc
` + exitHelp
}

// SetFlags implements subcommands.Command.
func (c *settingsCmd) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.markdown, "markdown", false, "print keys as a Markdown table")
}

// Execute implements subcommands.Command.
func (c *settingsCmd) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.run(f.Args()); err != nil {
		return c.fail(err)
	}
	return subcommands.ExitSuccess
}

func (c *settingsCmd) run(args []string) error {
	usageErr := cferror.New("read arguments of settings", KindUsage, "give check or print with a role and a file, or keys with a role; see: cranberryford help settings")
	if len(args) < 2 || !slices.Contains(roles, args[1]) {
		return usageErr
	}
	if args[0] == "keys" && len(args) == 2 {
		c.printKeys(args[1])
		return nil
	}
	if len(args) != 3 || (args[0] != "check" && args[0] != "print") {
		return usageErr
	}
	cfg, err := loadSettings(args[1], args[2])
	if cferror.Is(err, cfjson.KindFaults) {
		return cferror.Wrap("check settings", KindRefused, err)
	}
	if err != nil {
		return err
	}
	if args[0] == "check" {
		c.Printf("%s: no faults\n", args[2])
		return nil
	}
	for _, line := range settingLines("", reflect.ValueOf(cfg)) {
		c.Printf("%s\n", line)
	}
	return nil
}

// loadSettings reads and validates the settings file of a role, which must be one of roles.
func loadSettings(role, file string) (any, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, cferror.Wrap("read settings file", KindUsage, err)
	}
	var cfg any
	switch role {
	case roleEntry:
		cfg, err = cfconfig.LoadEntry(file, data)
	case roleAgent:
		cfg, err = cfconfig.LoadAgent(file, data)
	case roleJobEntry:
		cfg, err = cfconfig.LoadJobEntry(file, data)
	case roleJobAgent:
		cfg, err = cfconfig.LoadJobAgent(file, data)
	}
	return cfg, err
}

// settingLines returns a line with the key and value of each setting in v, a struct. Each
// key begins with prefix. The hashes of tokens are hidden.
func settingLines(prefix string, v reflect.Value) []string {
	var out []string
	for i := 0; i < v.NumField(); i++ {
		name := prefix + v.Type().Field(i).Name
		f := v.Field(i)
		switch {
		case f.Kind() == reflect.Struct && f.Type().PkgPath() == v.Type().PkgPath():
			out = append(out, settingLines(name+".", f)...)
		case f.Type() == reflect.TypeFor[[]cfconfig.Token]():
			out = append(out, name+": "+tokenNames(f.Interface().([]cfconfig.Token)))
		default:
			out = append(out, fmt.Sprintf("%s: %v", name, f.Interface()))
		}
	}
	return out
}

// tokenNames lists the tokens by name, without their hashes.
func tokenNames(tokens []cfconfig.Token) string {
	names := make([]string, len(tokens))
	for i, t := range tokens {
		names[i] = t.Name + " [hidden]"
	}
	return strings.Join(names, ", ")
}

// printKeys prints a table of a role's settings with their types, defaults and meanings.
func (c *settingsCmd) printKeys(role string) {
	var cfg any
	switch role {
	case roleEntry:
		cfg = cfconfig.DefaultEntry()
	case roleAgent:
		cfg = cfconfig.DefaultAgent()
	case roleJobEntry:
		cfg = cfconfig.DefaultJobEntry()
	case roleJobAgent:
		cfg = cfconfig.DefaultJobAgent()
	}
	t := c.Table("Key", "Type", "Default", "Meaning")
	for _, k := range cfconfig.Describe(cfg) {
		t.AppendRow([]any{k.Path, k.Type, k.Default, k.Meaning})
	}
	if c.markdown {
		t.RenderMarkdown()
		return
	}
	t.Render()
}

// tokenCmd makes a token for an operator and prints it.
type tokenCmd struct{ *output }

// tokenBytes is the length of a new token before its encoding.
const tokenBytes = 24

// Name implements subcommands.Command.
func (*tokenCmd) Name() string { return "token" }

// Synopsis implements subcommands.Command.
func (*tokenCmd) Synopsis() string { return "make an operator's token" }

// Usage implements subcommands.Command.
func (*tokenCmd) Usage() string {
	return `token NAME
Make a new token and print it once, with the line for Tokens in an entry's settings.
The line contains only the token's hash, so the token cannot be shown again.
Example: cranberryford token alice
`
}

// SetFlags implements subcommands.Command.
func (*tokenCmd) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (c *tokenCmd) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return c.fail(cferror.New("make token", KindUsage, "name one operator"))
	}
	raw := make([]byte, tokenBytes)
	if _, err := rand.Read(raw); err != nil {
		return c.fail(cferror.Wrap("make token", KindFailed, err))
	}
	token := hex.EncodeToString(raw)
	c.Printf("token: %s\nsettings: {\"Name\": %q, \"Hash\": %q}\n", token, f.Arg(0), HashToken(token))
	return subcommands.ExitSuccess
}

// HashToken returns the hash of a token for the Tokens in an entry's settings.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
