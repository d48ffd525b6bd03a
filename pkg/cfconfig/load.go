package cfconfig

import (
	"fmt"
	"net/netip"
	"reflect"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"

	"cranberryford/pkg/cfintent"
	"cranberryford/pkg/cfjson"
)

// LoadEntry decodes and checks an entry's settings. name is the file name for errors, and
// data the file's content.
func LoadEntry(name string, data []byte) (Entry, error) {
	cfg := DefaultEntry()
	doc := cfjson.Decode(name, data, &cfg)
	checkTags(doc, cfg)
	checkLease(doc, cfg.Lease)
	checkDistinct(doc, map[string]netip.AddrPort{
		"Callers": cfg.Callers, "Operators": cfg.Operators, "Inner": cfg.Inner, "Log": cfg.Log,
	})
	checkEntriesAndTokens(doc, cfg)
	if cfg.Routing.Beat*3 > cfg.Routing.Suspect {
		doc.Add("Routing.Beat", "%s must be at most a third of Routing.Suspect, %s", cfg.Routing.Beat, cfg.Routing.Suspect)
	}
	return cfg, doc.Err()
}

// LoadAgent decodes and checks an agent's settings. name is the file name for errors, and
// data the file's content.
func LoadAgent(name string, data []byte) (Agent, error) {
	cfg := DefaultAgent()
	doc := cfjson.Decode(name, data, &cfg)
	checkTags(doc, cfg)
	checkLease(doc, cfg.Lease)
	checkDistinct(doc, map[string]netip.AddrPort{"VM": cfg.VM, "Local": cfg.Local})
	checkUnique(doc, "Entries", cfg.Entries)
	if cfg.Beat*3 > cfg.Suspect {
		doc.Add("Beat", "%s must be at most a third of Suspect, %s", cfg.Beat, cfg.Suspect)
	}
	return cfg, doc.Err()
}

func checkEntriesAndTokens(doc *cfjson.Document, cfg Entry) {
	checkUnique(doc, "Entries", cfg.Entries)
	for i, a := range cfg.Entries {
		if a == cfg.Inner {
			doc.Add(indexedKey("Entries", i), "%s is this entry's own Inner address", a)
		}
	}
	names := map[string]bool{}
	for i, t := range cfg.Tokens {
		if names[t.Name] {
			doc.Add(indexedKey("Tokens", i)+".Name", "%q is given twice", t.Name)
		}
		names[t.Name] = true
	}
}

func checkLease(doc *cfjson.Document, l Lease) {
	if l.Ask*3 > l.Grant {
		doc.Add("Lease.Ask", "%s must be at most a third of Lease.Grant, %s", l.Ask, l.Grant)
	}
	if l.Poll*3 > l.Grant {
		doc.Add("Lease.Poll", "%s must be at most a third of Lease.Grant, %s", l.Poll, l.Grant)
	}
}

// checkDistinct reports settings that have the same address. Unset addresses and addresses
// with port 0 are not compared.
func checkDistinct(doc *cfjson.Document, addrs map[string]netip.AddrPort) {
	seen := map[netip.AddrPort]string{}
	for _, key := range sortedKeys(addrs) {
		a := addrs[key]
		if !a.IsValid() || a.Port() == 0 {
			continue
		}
		if other, ok := seen[a]; ok {
			doc.Add(key, "%s is the address of %s too", a, other)
		}
		seen[a] = key
	}
}

// checkUnique reports addresses that occur more than once in a list.
func checkUnique(doc *cfjson.Document, key string, list []netip.AddrPort) {
	seen := map[netip.AddrPort]bool{}
	for i, a := range list {
		if seen[a] {
			doc.Add(indexedKey(key, i), "%s is given twice", a)
		}
		seen[a] = true
	}
}

// checkTags checks the settings against their validate tags and adds the violations as
// faults.
func checkTags(doc *cfjson.Document, cfg any) {
	v := validator.New(validator.WithRequiredStructEnabled())
	mustRegister(v, "cfname", func(f validator.FieldLevel) bool { return cfintent.ValidName(f.Field().String()) })
	mustRegister(v, "addr", func(f validator.FieldLevel) bool { return f.Field().String() != "" })
	// Validate addresses as text; an unset address is the empty text.
	v.RegisterCustomTypeFunc(func(f reflect.Value) any {
		if a, ok := f.Interface().(netip.AddrPort); ok && a.IsValid() {
			return a.String()
		}
		return ""
	}, netip.AddrPort{})
	var faults validator.ValidationErrors
	if !errors.As(v.Struct(cfg), &faults) {
		return
	}
	for _, f := range faults {
		key := f.StructNamespace()
		key = key[strings.Index(key, ".")+1:]
		if !doc.HasFault(key) {
			doc.Add(key, "%s%s", valuePrefix(f.Value()), requirement(f))
		}
	}
}

// mustRegister registers a validation. It panics only if the tag name is invalid.
func mustRegister(v *validator.Validate, tag string, f validator.Func) {
	if err := v.RegisterValidation(tag, f); err != nil {
		panic(err)
	}
}

// valuePrefix formats a value for use in front of a requirement. The result ends with a space;
// for a value with an empty text, it is the empty string.
func valuePrefix(v any) string {
	if text := fmt.Sprint(v); text != "" {
		return text + " "
	}
	return ""
}

// requirement describes the rule that a value violates.
func requirement(f validator.FieldError) string {
	switch f.Tag() {
	case "cfname":
		return "must be a name of a-z, 0-9, '-' and '.'"
	case "addr":
		return `must be an IP number and a port, such as "10.0.0.1:7000"`
	case "min":
		return "must be at least " + f.Param()
	case "max":
		return "must be at most " + f.Param()
	case "oneof":
		return "must be one of " + f.Param()
	case "len":
		return "must have " + f.Param() + " characters"
	}
	return "must be " + f.Tag()
}

func indexedKey(key string, i int) string { return key + "[" + itoa(i) + "]" }

// Key describes one settings key.
type Key struct {
	// Path is the key with its enclosing keys, such as "Lease.Grant".
	Path string
	// Type is the name of the type, as shown to operators.
	Type string
	// Default is the default value as text; empty for a zero value that is not an int.
	Default string
	// Allowed is the validate tag of the setting, and Meaning is its doc tag.
	Allowed string
	Meaning string
}

// Describe returns the descriptions of all keys of a settings struct. The values of cfg are
// the defaults.
func Describe(cfg any) []Key {
	return describe("", reflect.ValueOf(cfg))
}

func describe(prefix string, v reflect.Value) []Key {
	var out []Key
	for i := 0; i < v.NumField(); i++ {
		f := v.Type().Field(i)
		path := prefix + f.Name
		if f.Type.Kind() == reflect.Struct && f.Type.PkgPath() == v.Type().PkgPath() {
			out = append(out, describe(path+".", v.Field(i))...)
			continue
		}
		out = append(out, Key{
			Path: path, Type: typeName(f.Type), Default: defaultText(v.Field(i)),
			Allowed: f.Tag.Get("validate"), Meaning: f.Tag.Get("doc"),
		})
	}
	return out
}

// LoadJobEntry decodes and checks the settings of an entry that serves jobs. name is the
// file name for errors, and data the file's content.
func LoadJobEntry(name string, data []byte) (JobEntry, error) {
	cfg := DefaultJobEntry()
	doc := cfjson.Decode(name, data, &cfg)
	checkTags(doc, cfg)
	checkHeartbeat(doc, cfg.Beat, cfg.Suspect)
	checkDistinct(doc, map[string]netip.AddrPort{
		"Callers": cfg.Callers, "Readiness": cfg.Readiness, "Inner": cfg.Inner, "Metrics": cfg.Metrics, "Store": cfg.Store,
	})
	if cfg.StoreTimeout.Wait >= cfg.Lease.Authority {
		doc.Add("StoreTimeout.Wait", "%s must be less than Lease.Authority, %s", cfg.StoreTimeout.Wait, cfg.Lease.Authority)
	}
	return cfg, doc.Err()
}

// LoadJobAgent decodes and checks the settings of an agent that runs the tasks of jobs. name
// is the file name for errors, and data the file's content.
func LoadJobAgent(name string, data []byte) (JobAgent, error) {
	cfg := DefaultJobAgent()
	doc := cfjson.Decode(name, data, &cfg)
	checkTags(doc, cfg)
	checkHeartbeat(doc, cfg.Beat, cfg.Suspect)
	checkDistinct(doc, map[string]netip.AddrPort{
		"Worker": cfg.Worker, "Heartbeats": cfg.Heartbeats, "Metrics": cfg.Metrics,
	})
	checkUnique(doc, "Entries", cfg.Entries)
	if cfg.Ask*3 > cfg.Lease.Grant {
		doc.Add("Ask", "%s must be at most a third of Lease.Grant, %s", cfg.Ask, cfg.Lease.Grant)
	}
	if cfg.HoldWait*4 > cfg.Lease.Lease {
		doc.Add("HoldWait", "%s must be at most a quarter of Lease.Lease, %s", cfg.HoldWait, cfg.Lease.Lease)
	}
	return cfg, doc.Err()
}

func checkHeartbeat(doc *cfjson.Document, period, suspect time.Duration) {
	if period*3 > suspect {
		doc.Add("Beat", "%s must be at most a third of Suspect, %s", period, suspect)
	}
}
