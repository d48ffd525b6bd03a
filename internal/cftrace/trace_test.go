package cftrace_test

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"cranberryford/internal/cfprint"
	"cranberryford/internal/cftrace"
)

// readLogs returns the log files in testdata.
func readLogs(t *testing.T) []io.Reader {
	t.Helper()
	files, err := filepath.Glob("testdata/*.log")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	var out []io.Reader
	for _, name := range files {
		data, err := os.ReadFile(name)
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		out = append(out, bytes.NewReader(data))
	}
	return out
}

func TestReadAndPrint(t *testing.T) {
	for _, c := range []struct {
		name, id    string
		withContext bool
	}{
		{"refused", "1ebe7ffce7e74f1e", true},
		{"failed", "d03da19485a9acdd", false},
		{"unknown", "0000000000000000", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, err := cftrace.Read(c.id, c.withContext, readLogs(t)...)
			NewWithT(t).Expect(err).NotTo(HaveOccurred())
			var out bytes.Buffer
			p := cfprint.Printer{Out: &out}
			p.Trace(c.id, s)
			goldie.New(t).Assert(t, c.name, out.Bytes())
		})
	}
}

func TestReadRejectsLongLine(t *testing.T) {
	_, err := cftrace.Read("x", false, strings.NewReader(strings.Repeat("x", 2<<20)))
	NewWithT(t).Expect(err).To(MatchError(ContainSubstring("cannot read log")))
}
