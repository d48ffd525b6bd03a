package cfconfig_test

import (
	"io/fs"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"cranberryford/pkg/cfconfig"
	"cranberryford/samples"
)

func TestSamplesAreValid(t *testing.T) {
	g := NewWithT(t)
	n := 0
	err := fs.WalkDir(samples.Files, ".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		data, err := samples.Files.ReadFile(path)
		g.Expect(err).NotTo(HaveOccurred())
		switch {
		case strings.Contains(path, "/entry-"):
			_, err = cfconfig.LoadEntry(path, data)
		case strings.Contains(path, "/agent-"):
			_, err = cfconfig.LoadAgent(path, data)
		}
		g.Expect(err).NotTo(HaveOccurred())
		n++
		return nil
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(n).To(Equal(2 * (3 + 11 + 1)))
}

const badEntry = `{
	// every line below has a fault
	"Name": "North Shore",
	"DataCentre": 7,
	"Callers": "localhost:7000",
	"Operators": "10.0.0.1:7001",
	"Inner": "10.0.0.1:7001",
	"Log": "10.0.0.9:8000",
	"Entries": ["10.0.0.2:7002", "10.0.0.2:7002", "10.0.0.1:7001"],
	"Tokens": [{"Name": "alice", "Hash": "short"}, {"Name": "alice", "Hash": "` + "0000000000000000000000000000000000000000000000000000000000000000" + `"}],
	"Lease": {"Grant": 3, "Ask": "2s"},
	"Planner": {"HeadroomPercent": 200, "Placement": "Best"},
	"Routing": {"Beat": "700ms"},
	"Colour": "red",
	"LogLevel": "info",
	"LogLevel": "info",
}`

const badAgent = `{
	"Worker": "vm-1", "DataCentre": "seacoast", "Rack": "r1",
	"VM": "127.0.0.1:9000", "Local": "127.0.0.1:9000",
	"Entries": [],
	"TargetTTL": "1h",
	"VMPoll": "fast",
	"TrafficConns": 1.5,
}`

func TestFaultsAreReported(t *testing.T) {
	g := goldie.New(t)
	_, err := cfconfig.LoadEntry("entry.jsonc", []byte(badEntry))
	g.Assert(t, "entry_faults", []byte(err.Error()))
	_, err = cfconfig.LoadAgent("agent.jsonc", []byte(badAgent))
	g.Assert(t, "agent_faults", []byte(err.Error()))
	_, err = cfconfig.LoadAgent("agent.jsonc", []byte(`{"Worker": `))
	g.Assert(t, "broken_file", []byte(err.Error()))
}
