package cfdriver

import (
	"fmt"
	"strings"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfrecord"
)

// DescribeLog returns a text for test reports: the offsets that the log retains, and one line
// for each log entry in the response to one read from the beginning.
func (c *Cluster) DescribeLog() string {
	codec, err := cfrecord.NewCodec()
	Expect(err).NotTo(HaveOccurred())
	var page cfcore.LogPage
	c.getJSON(fmt.Sprintf("http://%s/streams/cranberryford/entries?From=1&Wait=0s", c.logAddr), &page)
	var b strings.Builder
	fmt.Fprintf(&b, "first offset %d, next offset %d\n", page.First, page.Next)
	for _, e := range page.Entries {
		var batch cfrecord.Batch
		if err := codec.Unmarshal(e.Data, &batch); err != nil {
			fmt.Fprintf(&b, "offset %d: %v\n", e.Offset, err)
			continue
		}
		fmt.Fprintf(&b, "offset %d, written by %s:", e.Offset, batch.By)
		for _, r := range batch.Records {
			if s := r.Snapshot; s != nil {
				fmt.Fprintf(&b, " snapshot at offset %d, part %d of %d;", s.Base, s.Part, s.Parts)
			}
		}
		fmt.Fprintf(&b, " %d records\n", len(batch.Records))
	}
	return b.String()
}

// HasUsableSnapshot reports whether the state can be recovered from the log. That needs a
// complete snapshot and all log entries after the snapshot's base. The base is the last offset
// whose effect the snapshot contains. HasUsableSnapshot considers only snapshots of a single
// part, because the state in the tests is small enough for one part.
func (c *Cluster) HasUsableSnapshot() bool {
	codec, err := cfrecord.NewCodec()
	Expect(err).NotTo(HaveOccurred())
	var page cfcore.LogPage
	c.getJSON(fmt.Sprintf("http://%s/streams/cranberryford/entries?From=1&Wait=0s", c.logAddr), &page)
	for _, e := range page.Entries {
		var batch cfrecord.Batch
		if codec.Unmarshal(e.Data, &batch) != nil {
			continue
		}
		for _, r := range batch.Records {
			if r.Snapshot != nil && r.Snapshot.Parts == 1 && r.Snapshot.Base+1 >= page.First {
				return true
			}
		}
	}
	return false
}
