package jobs

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
)

// malformedRecords returns records that another writer left in the topic of the jobs.
func malformedRecords() []cfcore.KeyedRecord {
	encode := func(v any) []byte {
		data, err := cbor.Marshal(v)
		Expect(err).NotTo(HaveOccurred())
		return data
	}
	step := func(fields map[string]any) []any { return []any{fields} }
	id := func(n int) string { return fmt.Sprintf("%016x", 1<<40+n) }
	return []cfcore.KeyedRecord{
		{Key: "job/" + id(1), Value: append(bytes.Repeat([]byte{0x81}, 30_000), 0)},
		{Key: "job/" + id(2), Value: encode(map[string]any{"ID": id(2), "Steps": step(map[string]any{"Count": 1, "After": []int{7}})})},
		{Key: "job/" + id(3), Value: encode(map[string]any{
			"ID": id(3), "Steps": step(map[string]any{"Count": 16}), "Schedule": map[string]any{"Count": 1 << 60},
		})},
		{Key: "progress/" + id(4), Value: encode(map[string]any{"Stamp": uint64(math.MaxUint64)})},
		{Key: "entry/x", Value: encode(map[string]any{"Instance": "x"})},
		{Key: "worker/x", Value: encode("x")},
		{Key: "planner", Value: encode(map[string]any{"Epoch": uint64(math.MaxUint64), "Instance": "x"})},
		{Key: "\xff", Value: []byte{0xff}},
	}
}

var _ = It("jobs are completed once, also by a planner that starts later, when another writer leaves malformed records, routes and submissions", func() {
	f := newFleet(3, 3)
	f.checkFaultUnderLoad(func() {
		_, err := f.store.Append(context.Background(), cfcore.Topic{Name: "keyed.jobs"}, malformedRecords(), noOptions)
		Expect(err).NotTo(HaveOccurred())
		route := `{"name":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `},{"name":"x","priority":1e400},`
		config := strings.Replace(fmt.Sprintf(configFormat, 2), `"routes":[`, `"routes":[`+route, 1)
		Expect(config).To(ContainSubstring("1e400"))
		_, err = f.store.Append(context.Background(), operatorTopic, operatorRecord(config), noOptions)
		Expect(err).NotTo(HaveOccurred())
		Expect(f.submit(900_000, `{"spec":"1ms","steps":[{"count":16}],"repeat_count":1152921504606846976}`)).To(BeFalse())
		time.Sleep(500 * time.Millisecond)
		p := f.entries[f.awaitPlanner()]
		p.kill()
		time.Sleep(time.Second)
		p.restart()
		time.Sleep(3 * time.Second)
	})
	for _, p := range append(f.entries, f.agents...) {
		Consistently(p.session, 200*time.Millisecond).ShouldNot(exited())
	}
	Expect(f.countLogged("record cannot be applied; skipping it")).To(BeNumerically(">=", 3*8))
	Expect(f.countLogged("queue cannot be decoded; leaving it out")).To(BeNumerically(">=", 3*2))
})
