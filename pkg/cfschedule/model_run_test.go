package cfschedule_test

import (
	"flag"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// recorder is a testing.TB for a check that must fail. It records the failure instead of
// failing the test.
type recorder struct {
	testing.TB
	failed bool
}

func (r *recorder) Helper()               {}
func (r *recorder) Logf(string, ...any)   {}
func (r *recorder) Log(...any)            {}
func (r *recorder) Errorf(string, ...any) { r.failed = true }
func (r *recorder) Error(...any)          { r.failed = true }
func (r *recorder) Fatalf(string, ...any) { r.failed = true }
func (r *recorder) Fatal(...any)          { r.failed = true }
func (r *recorder) FailNow()              { r.failed = true }
func (r *recorder) Fail()                 { r.failed = true }
func (r *recorder) Failed() bool          { return r.failed }
func (r *recorder) Name() string          { return "injected fault" }

// setChecks makes rapid.Check run n checks, with a fixed seed.
func setChecks(t *testing.T, n string) {
	t.Helper()
	for name, value := range map[string]string{"rapid.checks": n, "rapid.seed": "20261204", "rapid.nofailfile": "true", "rapid.shrinktime": "1s"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
}

// TestModel checks, over random histories, that no run is declared ended before its lease
// has expired.
func TestModel(t *testing.T) {
	setChecks(t, "20000")
	evicted := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, faults{})
		m.run()
		evicted += m.evictions
	})
	t.Logf("%d histories reached an eviction", evicted)
	NewWithT(t).Expect(evicted).To(BeNumerically(">", 50), "the model must reach evictions")
}

// TestModelFindsInjectedFaults checks that random histories find two of the injected faults.
// The other faults show more rarely in random histories. TestDirected covers them.
func TestModelFindsInjectedFaults(t *testing.T) {
	for name, f := range map[string]faults{
		"grant age counted from receipt": {grantsFromReceipt: true},
		"eviction wait too short":        {shortWait: true},
	} {
		t.Run(name, func(t *testing.T) {
			setChecks(t, "60000")
			r := &recorder{TB: t}
			rapid.Check(r, func(t *rapid.T) { newModel(t, f).run() })
			NewWithT(t).Expect(r.failed).To(BeTrue(), "the injected fault was not found")
		})
	}
}
