package cfconfig

import (
	"fmt"
	"net/netip"
	"reflect"
	"sort"
	"strconv"
	"time"
)

func itoa(i int) string { return strconv.Itoa(i) }

func sortedKeys(m map[string]netip.AddrPort) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

// typeName returns the name of a setting's type, as shown to operators.
func typeName(t reflect.Type) string {
	switch {
	case t == reflect.TypeFor[time.Duration]():
		return "time with unit"
	case t == reflect.TypeFor[netip.AddrPort]():
		return "IP:port"
	case t == reflect.TypeFor[netip.Addr]():
		return "IP"
	case t.Kind() == reflect.Slice:
		return "list of " + typeName(t.Elem())
	case t.Kind() == reflect.Struct:
		return t.Name()
	case t.Kind() == reflect.String:
		return "text"
	case t.Kind() == reflect.Int, t.Kind() == reflect.Int64:
		return "whole number"
	}
	return t.Kind().String()
}

// defaultText formats a default value. It returns an empty string for a zero value, unless
// the setting is an int.
func defaultText(v reflect.Value) string {
	if v.IsZero() && v.Kind() != reflect.Int {
		return ""
	}
	return fmt.Sprint(v.Interface())
}
