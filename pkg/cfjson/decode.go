// Package cfjson decodes JSON with comments into Go values. It collects all faults of a
// file, each with its line, its key and the allowed values.
package cfjson

import (
	"fmt"
	"net/netip"
	"reflect"
	"sort"
	"strings"
	"time"

	"github.com/tailscale/hujson"

	"cranberryford/pkg/cferror"
)

// Kind says why a file was not accepted.
type Kind string

const (
	// KindFaults means that the file has at least one fault.
	KindFaults Kind = "faults"
)

// Error is the error type of this package.
type Error = cferror.Error[Kind]

// Fault is one error in a file, such as an unknown key or a value of the wrong type.
type Fault struct {
	// Line is the line number of the key, starting at 1.
	Line int
	// Key is the path of the key, such as "Lease.Grant" or "Entries[0]"; empty for the
	// whole file.
	Key     string
	Message string
}

// Document is a decoded file with the faults that were found in it.
type Document struct {
	Name string
	// lines maps each key of the file to its line number.
	lines  map[string]int
	faults []Fault
	data   []byte
}

// Decode decodes data into the struct that out points to, and collects the faults in the
// returned document. Fields whose keys are not in data keep their values. name is the file
// name for error messages.
func Decode(name string, data []byte, out any) *Document {
	d := &Document{Name: name, lines: map[string]int{}, data: data}
	v, err := hujson.Parse(data)
	if err != nil {
		d.faults = append(d.faults, Fault{Line: 1, Message: err.Error()})
		return d
	}
	d.decodeValue("", &v, reflect.ValueOf(out).Elem())
	return d
}

// Add adds a fault at a key. The fault's line is that of the key or, if the file does not
// have the key, of its nearest enclosing key.
func (d *Document) Add(key, format string, args ...any) {
	d.faults = append(d.faults, Fault{Line: d.lineOf(key), Key: key, Message: fmt.Sprintf(format, args...)})
}

// HasFault reports whether a key already has a fault. A fault of the whole file counts as a
// fault of every key.
func (d *Document) HasFault(key string) bool {
	for _, f := range d.faults {
		if f.Key == key || f.Key == "" {
			return true
		}
	}
	return false
}

// Faults returns the faults ordered by line.
func (d *Document) Faults() []Fault {
	sort.SliceStable(d.faults, func(i, j int) bool { return d.faults[i].Line < d.faults[j].Line })
	return d.faults
}

// Err returns one error that lists all faults, or nil.
func (d *Document) Err() error {
	faults := d.Faults()
	if len(faults) == 0 {
		return nil
	}
	lines := make([]string, len(faults))
	for i, f := range faults {
		lines[i] = fmt.Sprintf("%s:%d: %s", d.Name, f.Line, f.keyedMessage())
	}
	return cferror.New("read "+d.Name, KindFaults, "%d found\n%s", len(faults), strings.Join(lines, "\n"))
}

// keyedMessage returns the message with the key before it.
func (f Fault) keyedMessage() string {
	if f.Key == "" {
		return f.Message
	}
	return f.Key + ": " + f.Message
}

// lineOf returns the line of a key or of its nearest enclosing key in the file, or 1.
func (d *Document) lineOf(key string) int {
	for key != "" {
		if n, ok := d.lines[key]; ok {
			return n
		}
		key = key[:max(0, strings.LastIndexAny(key, ".["))]
	}
	return 1
}

// lineAtOffset returns the line number at a byte offset of the file.
func (d *Document) lineAtOffset(offset int) int {
	return 1 + strings.Count(string(d.data[:min(offset, len(d.data))]), "\n")
}

var (
	durationType = reflect.TypeFor[time.Duration]()
	addrPortType = reflect.TypeFor[netip.AddrPort]()
	addrType     = reflect.TypeFor[netip.Addr]()
)

// decodeValue decodes the value of a key into out, or adds a fault at the key.
func (d *Document) decodeValue(key string, v *hujson.Value, out reflect.Value) {
	d.lines[key] = d.lineAtOffset(v.StartOffset)
	switch {
	case out.Type() == durationType:
		d.decodeDuration(key, v, out)
	case out.Type() == addrPortType:
		d.decodeAddrPort(key, v, out)
	case out.Type() == addrType:
		d.decodeAddr(key, v, out)
	case out.Kind() == reflect.Struct:
		d.decodeObject(key, v, out)
	case out.Kind() == reflect.Slice:
		d.decodeArray(key, v, out)
	default:
		d.decodeLiteral(key, v, out)
	}
}

func (d *Document) decodeObject(key string, v *hujson.Value, out reflect.Value) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.Add(key, "must be an object in braces")
		return
	}
	seen := map[string]bool{}
	for i := range obj.Members {
		m := &obj.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		path := joinKey(key, name)
		d.lines[path] = d.lineAtOffset(m.Name.StartOffset)
		field := out.FieldByName(name)
		switch {
		case !field.IsValid() || !field.CanSet():
			d.Add(path, "unknown key; allowed are %s", strings.Join(fieldNames(out.Type()), ", "))
		case seen[name]:
			d.Add(path, "is given twice")
		default:
			d.decodeValue(path, &m.Value, field)
		}
		seen[name] = true
	}
}

func joinKey(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}

func fieldNames(t reflect.Type) []string {
	out := make([]string, 0, t.NumField())
	for i := 0; i < t.NumField(); i++ {
		if t.Field(i).IsExported() {
			out = append(out, t.Field(i).Name)
		}
	}
	return out
}

func (d *Document) decodeArray(key string, v *hujson.Value, out reflect.Value) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		d.Add(key, "must be a list in brackets")
		return
	}
	list := reflect.MakeSlice(out.Type(), len(arr.Elements), len(arr.Elements))
	for i := range arr.Elements {
		d.decodeValue(fmt.Sprintf("%s[%d]", key, i), &arr.Elements[i], list.Index(i))
	}
	out.Set(list)
}

// stringValue returns the value of a string literal, and false for any other value.
func (d *Document) stringValue(v *hujson.Value) (string, bool) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		return "", false
	}
	return lit.String(), true
}

func (d *Document) decodeDuration(key string, v *hujson.Value, out reflect.Value) {
	s, ok := d.stringValue(v)
	t, err := time.ParseDuration(s)
	if !ok || err != nil {
		d.Add(key, `must be a time with its unit, such as "250ms", "3s" or "10m"`)
		return
	}
	out.SetInt(int64(t))
}

func (d *Document) decodeAddrPort(key string, v *hujson.Value, out reflect.Value) {
	s, ok := d.stringValue(v)
	a, err := netip.ParseAddrPort(s)
	if !ok || err != nil {
		d.Add(key, `must be an IP number and a port, such as "10.0.0.1:7000"`)
		return
	}
	out.Set(reflect.ValueOf(a))
}

func (d *Document) decodeAddr(key string, v *hujson.Value, out reflect.Value) {
	s, ok := d.stringValue(v)
	a, err := netip.ParseAddr(s)
	if !ok || err != nil {
		d.Add(key, `must be an IP number, such as "10.0.0.1"`)
		return
	}
	out.Set(reflect.ValueOf(a))
}

func (d *Document) decodeLiteral(key string, v *hujson.Value, out reflect.Value) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok {
		d.Add(key, "must be a single value")
		return
	}
	switch out.Kind() {
	case reflect.String:
		d.setOrFault(key, lit.Kind() == '"', "a text in quotes", func() { out.SetString(lit.String()) })
	case reflect.Bool:
		d.setOrFault(key, lit.Kind() == 't' || lit.Kind() == 'f', "true or false", func() { out.SetBool(lit.Bool()) })
	case reflect.Int, reflect.Int64:
		whole := lit.Kind() == '0' && !strings.ContainsAny(string(lit), ".eE")
		d.setOrFault(key, whole, "a whole number", func() { out.SetInt(lit.Int()) })
	case reflect.Float64:
		d.setOrFault(key, lit.Kind() == '0', "a number", func() { out.SetFloat(lit.Float()) })
	default:
		d.Add(key, "cannot be set")
	}
}

// setOrFault calls set if ok is true. Otherwise it adds a fault with the text "must be" and want.
func (d *Document) setOrFault(key string, ok bool, want string, set func()) {
	if !ok {
		d.Add(key, "must be %s", want)
		return
	}
	set()
}
