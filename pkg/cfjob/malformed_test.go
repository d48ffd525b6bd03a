package cfjob_test

import (
	"bytes"
	"math"
	"net/netip"
	"runtime"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfjob"
)

func encode(t *testing.T, v any) []byte {
	t.Helper()
	data, err := cbor.Marshal(v)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return data
}

// addrBytes returns the encoded form of an address and port.
func addrBytes(s string) []byte {
	data, _ := netip.MustParseAddrPort(s).MarshalBinary()
	return data
}

// A malformed record must change nothing, and the records around it must be applied.
func TestMalformedRecordsAreSkipped(t *testing.T) {
	step := map[string]any{"Count": 1, "Resources": map[string]any{"MilliCores": 1}}
	job := func(changes map[string]any) map[string]any {
		j := map[string]any{"ID": jobID, "Steps": []any{step}, "Spec": "s"}
		for k, v := range changes {
			j[k] = v
		}
		return j
	}
	with := func(k string, v any) map[string]any { return job(map[string]any{k: v}) }
	badStep := func(k string, v any) map[string]any {
		return with("Steps", []any{map[string]any{"Count": 1, k: v}})
	}
	claim := func(epoch uint64, addr any) map[string]any {
		return map[string]any{"Epoch": epoch, "Instance": "x", "Address": addr}
	}
	good := addrBytes("10.0.0.1:80")
	deep := append(bytes.Repeat([]byte{0x81}, 100_000), 0)
	malformed := map[string]cfcore.KeyedRecord{
		"unknown key":                      {Key: "x/y", Value: []byte{1}},
		"job: deeply nested":               {Key: "job/" + jobID, Value: deep},
		"job: deeply nested tags":          {Key: "job/" + jobID, Value: append(bytes.Repeat([]byte{0xc1}, 100_000), 0)},
		"job: endless lists":               {Key: "job/" + jobID, Value: bytes.Repeat([]byte{0x9f}, 100_000)},
		"job: array of 2^60":               {Key: "job/" + jobID, Value: []byte{0xa1, 0x65, 'S', 't', 'e', 'p', 's', 0x9b, 0x10, 0, 0, 0, 0, 0, 0, 0}},
		"job: 2^60 bytes":                  {Key: "job/" + jobID, Value: []byte{0xa1, 0x64, 'S', 'p', 'e', 'c', 0x7b, 0x10, 0, 0, 0, 0, 0, 0, 0}},
		"job: wrong type":                  {Key: "job/" + jobID, Value: encode(t, with("Spec", 7))},
		"job: another ID":                  {Key: "job/" + jobID, Value: encode(t, with("ID", "5c0e7a21d94b36f9"))},
		"job: no ID":                       {Key: "job/" + jobID, Value: encode(t, map[string]any{})},
		"job: ID in the key is invalid":    {Key: "job/x", Value: encode(t, with("ID", "x"))},
		"job: count beyond int64":          {Key: "job/" + jobID, Value: encode(t, badStep("Count", uint64(math.MaxUint64)))},
		"job: count too large":             {Key: "job/" + jobID, Value: encode(t, badStep("Count", 1<<40))},
		"job: negative count":              {Key: "job/" + jobID, Value: encode(t, badStep("Count", -1))},
		"job: number beyond int64":         {Key: "job/" + jobID, Value: encode(t, badStep("Estimate", 1e300))},
		"job: waits for an unknown step":   {Key: "job/" + jobID, Value: encode(t, badStep("After", []int{7}))},
		"job: waits for itself":            {Key: "job/" + jobID, Value: encode(t, badStep("After", []int{0}))},
		"job: negative capacity":           {Key: "job/" + jobID, Value: encode(t, badStep("Resources", map[string]any{"MemoryMB": -1}))},
		"job: occurrences overflow":        {Key: "job/" + jobID, Value: encode(t, job(map[string]any{"Steps": []any{map[string]any{"Count": 16}}, "Schedule": map[string]any{"Count": 1 << 60}}))},
		"job: endless occurrences":         {Key: "job/" + jobID, Value: encode(t, with("Schedule", map[string]any{"Count": 1 << 40}))},
		"job: 500,000 empty steps":         {Key: "job/" + jobID, Value: append([]byte{0xa1, 0x65, 'S', 't', 'e', 'p', 's', 0x9a, 0, 0x07, 0xa1, 0x20}, bytes.Repeat([]byte{0xa0}, 500_000)...)},
		"progress: deeply nested":          {Key: "progress/" + jobID, Value: deep},
		"progress: stamp too large":        {Key: "progress/" + jobID, Value: encode(t, map[string]any{"Stamp": uint64(math.MaxUint64), "Started": true})},
		"progress: unknown outcome":        {Key: "progress/" + jobID, Value: encode(t, map[string]any{"Outcome": "Exploded"})},
		"progress: Done of another type":   {Key: "progress/" + jobID, Value: encode(t, map[string]any{"Done": 1e300})},
		"progress: Done below zero":        {Key: "progress/" + jobID, Value: encode(t, map[string]any{"DoneBelow": -8})},
		"progress: Done within a byte":     {Key: "progress/" + jobID, Value: encode(t, map[string]any{"DoneBelow": 3})},
		"progress: part 0 by number":       {Key: "progress/" + jobID + "/0", Value: encode(t, map[string]any{"Stamp": 1})},
		"progress: part without a number":  {Key: "progress/" + jobID + "/x", Value: encode(t, map[string]any{"Stamp": 1})},
		"cancel: deeply nested":            {Key: "cancel/" + jobID, Value: deep},
		"cancel: wrong type":               {Key: "cancel/" + jobID, Value: encode(t, map[string]any{"At": []int{1}})},
		"entry: deeply nested":             {Key: "entry/x", Value: deep},
		"entry: no address":                {Key: "entry/x", Value: encode(t, map[string]any{"Instance": "x"})},
		"entry: port 0":                    {Key: "entry/x", Value: encode(t, map[string]any{"Address": addrBytes("10.0.0.1:0")})},
		"entry: address of another length": {Key: "entry/x", Value: encode(t, map[string]any{"Address": []byte{1, 2, 3}})},
		"entry: port out of range":         {Key: "entry/x", Value: encode(t, map[string]any{"Address": "10.0.0.1:65536"})},
		"claim: deeply nested":             {Key: "planner", Value: deep},
		"claim: epoch beyond uint64":       {Key: "planner", Value: append([]byte{0xa1, 0x65, 'E', 'p', 'o', 'c', 'h', 0xc2, 0x49, 1}, make([]byte, 8)...)},
		"claim: largest epoch":             {Key: "planner", Value: encode(t, claim(math.MaxUint64, good))},
		"claim: epoch of 2^40":             {Key: "planner", Value: encode(t, claim(1<<40, good))},
		"claim: negative epoch":            {Key: "planner", Value: encode(t, map[string]any{"Epoch": -1, "Address": good})},
		"claim: no address":                {Key: "planner", Value: encode(t, map[string]any{"Epoch": 8, "Instance": "x"})},
		"absence: deeply nested":           {Key: "absent/x", Value: deep},
		"absence: no leases":               {Key: "absent/x", Value: encode(t, map[string]any{"Epoch": 7})},
		"absence: epoch of 2^40":           {Key: "absent/x", Value: encode(t, map[string]any{"Epoch": 1 << 40, "LeasesUntil": 1})},
		"clock: wrong type":                {Key: "clock", Value: encode(t, "x")},
		"clock: epoch of 2^40":             {Key: "clock", Value: encode(t, map[string]any{"Epoch": 1 << 40, "Elapsed": 1})},
		"clock: negative":                  {Key: "clock", Value: encode(t, map[string]any{"Epoch": 7, "Elapsed": -1})},
		"claim: port 0":                    {Key: "planner", Value: encode(t, claim(8, addrBytes("10.0.0.1:0")))},
	}
	for name, r := range malformed {
		t.Run(name, func(t *testing.T) {
			f := newStateFixture(t)
			f.apply(f.codec.Claim(&cfjob.Claim{Epoch: 7, Instance: "a", Address: netip.MustParseAddrPort("10.0.0.1:80")}))
			_, err := f.stored.Apply(r)
			f.Expect(err).To(HaveOccurred())
			f.Expect(f.stored.Jobs).To(BeEmpty())
			f.Expect(f.stored.Entries).To(BeEmpty())
			f.Expect(f.stored.Absences).To(BeEmpty())
			f.Expect(f.stored.Clock.Epoch).To(BeEquivalentTo(7))
			f.Expect(f.stored.Planner.Epoch).To(BeEquivalentTo(7))
			f.apply(f.codec.Job(validJob()))
			f.apply(f.codec.Progress(jobID, &cfjob.Progress{Stamp: 7<<32 | 2, Started: true}))
			f.apply(f.codec.Claim(&cfjob.Claim{Epoch: 8, Instance: "b", Address: netip.MustParseAddrPort("10.0.0.2:80")}))
			f.Expect(f.stored.Jobs[jobID].State()).To(Equal(cfjob.StateActive))
			f.Expect(f.stored.Planner.Epoch).To(BeEquivalentTo(8))
		})
	}
}

// A later planner waits for the run lists of every recorded agent. An agent whose record
// cannot be decoded can have runs, too.
func TestMalformedAgentRecordStillNamesTheAgent(t *testing.T) {
	for name, value := range map[string][]byte{
		"deeply nested": append(bytes.Repeat([]byte{0x81}, 100_000), 0), "wrong type": encode(t, "x"), "number too large": encode(t, 1e300),
	} {
		t.Run(name, func(t *testing.T) {
			f := newStateFixture(t)
			_, err := f.stored.Apply(cfcore.KeyedRecord{Key: "worker/a", Value: value})
			f.Expect(err == nil || len(f.stored.Agents) == 1).To(BeTrue())
			f.Expect(f.stored.Agents).To(HaveKey("a"))
		})
	}
}

// A small record must not need a lot of memory before it is rejected.
func TestMalformedRecordNeedsLittleMemory(t *testing.T) {
	f := newStateFixture(t)
	value := append([]byte{0xa1, 0x65, 'S', 't', 'e', 'p', 's', 0x9a, 0, 0x07, 0xa1, 0x20}, bytes.Repeat([]byte{0xa0}, 500_000)...)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := f.stored.Apply(cfcore.KeyedRecord{Key: "job/" + jobID, Value: value})
	runtime.ReadMemStats(&after)
	f.Expect(err).To(HaveOccurred())
	f.Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", 16<<20))
}
