package path

import (
	"fmt"
	"net/http"
	"os"
	"regexp"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberryford/internal/cfdriver"
)

const intentText = `{
	// a long-running relay
	"Teams": [{"Name": "kelaniya", "Quota": {"MilliCores": 4000, "MemoryMB": 4000}}],
	"Workloads": [{
		"Name": "flood-relay", "Class": "Watch", "Team": "kelaniya",
		"Resources": {"MilliCores": 500, "MemoryMB": 500}, "Permissions": ["Restart"],
	}],
}`

// planPattern finds the plan ID in the output of the command plan.
var planPattern = regexp.MustCompile(`confirm ([0-9a-f-]+)`)

var _ = Describe("the command line", func() {
	It("plans, confirms, shows, explains, drains and cancels", func() {
		c := cfdriver.New(cfdriver.Options{Subnet: 10, Entries: 2, VMs: 2})
		file := c.WriteFile("intent.jsonc", intentText)
		r := c.OperatorCommand(0, "plan", file)
		Expect(r.Code).To(BeZero(), r.Err)
		Expect(r.Out).To(ContainSubstring("flood-relay"))
		id := planPattern.FindStringSubmatch(r.Out)[1]
		Expect(c.OperatorCommand(1, "confirm", id).Out).To(ContainSubstring("in force since offset"))
		c.AwaitRunning(10*time.Second, "flood-relay", 1)

		Expect(c.OperatorCommand(1, "status").Out).To(ContainSubstring("flood-relay/0"))
		Expect(c.OperatorCommand(1, "status", "-json").Out).To(ContainSubstring(`"LogHealthy": true`))
		oldVM := c.VMOf(0, "flood-relay", 0)
		Expect(c.OperatorCommand(0, "drain", "-yes", oldVM.Name).Code).To(BeZero())
		c.AwaitMoved(10*time.Second, 0, "flood-relay", oldVM)
		explanation := c.OperatorCommand(1, "explain", "flood-relay/0").Out
		for _, want := range []string{"accepted", "assigned", "its worker is drained", "evicted", "Restart"} {
			Expect(explanation).To(ContainSubstring(want))
		}
		Expect(c.OperatorCommand(0, "cancel", "-yes", "flood-relay").Code).To(BeZero())
		c.Eventually(10*time.Second, "no task runs", func() bool { return c.RunCount() == 0 })
		Expect(c.OperatorCommand(0, "audit", "-n", "50").Out).To(And(ContainSubstring("alice"), ContainSubstring("workload removed")))
		c.CheckHistory()
	})

	It("reports each kind of error with its own exit code", func() {
		c := cfdriver.New(cfdriver.Options{Subnet: 10, Entries: 1, VMs: 1})
		bad := c.WriteFile("bad.jsonc", "{\n\t\"Workloads\": [{\"Name\": \"No Name\", \"Colour\": 1}],\n}")
		for name, t := range map[string]struct {
			result cfdriver.Result
			code   int
			output string
		}{
			"no such command":   {cfdriver.Command("", "fly"), 2, "Usage"},
			"no file":           {c.OperatorCommand(0, "plan"), 2, "name one intent file"},
			"bad intent":        {c.OperatorCommand(0, "plan", bad), 3, "bad.jsonc:2: Workloads[0].Colour: unknown key"},
			"unknown plan":      {c.OperatorCommand(0, "confirm", "nothing"), 3, "unknown or expired"},
			"unknown task":      {c.OperatorCommand(0, "explain", "nothing/0"), 3, "no task"},
			"unreachable entry": {cfdriver.Command("t", "status", "-entry", "127.10.9.9:1", "-timeout", "1s"), 4, "cannot be reached"},
			"no token":          {cfdriver.Command("", "status", "-entry", c.Entries[0].Operators.String()), 2, "CRANBERRYFORD_TOKEN"},
			"wrong token":       {cfdriver.Command("wrong", "status", "-entry", c.Entries[0].Operators.String()), 1, "token is not known"},
			"bad settings":      {cfdriver.Command("", "settings", "check", "agent", bad), 3, "unknown key"},
			"settings missing":  {cfdriver.Command("", "entry"), 2, "-settings FILE is needed"},
		} {
			Expect(t.result.Code).To(Equal(t.code), "%s: %s%s", name, t.result.Out, t.result.Err)
			Expect(t.result.Out+t.result.Err).To(ContainSubstring(t.output), name)
		}
	})
})

var _ = Describe("access", func() {
	It("is denied to an agent without the shared key, and no log contains the key", func() {
		c := cfdriver.New(cfdriver.Options{Subnet: 10, Entries: 1, VMs: 2})
		c.VMs[1].Agent.Kill()
		c.WriteFile("key", "another key that is long enough")
		c.VMs[1].Agent.Restart()
		c.Eventually(15*time.Second, "the worker is in state Barred", func() bool {
			st, err := c.Status(0)
			if err != nil {
				return false
			}
			for _, w := range st.Workers {
				if w.ID == c.VMs[1].Name {
					return w.State == "Barred"
				}
			}
			return false
		})
		for _, name := range []string{"entry-0", "vm-0-agent", "vm-1-agent"} {
			Expect(c.LogsOf(name)).NotTo(Or(ContainSubstring(cfdriver.SharedKey), ContainSubstring("another key")))
		}
	})

	It("to health, readiness and counters needs no token", func() {
		c := cfdriver.New(cfdriver.Options{Subnet: 10, Entries: 1, VMs: 1})
		for _, path := range []string{"/v1/health", "/v1/ready", "/metrics"} {
			resp, err := http.Get(fmt.Sprintf("http://%s%s", c.Entries[0].Operators, path))
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.Body.Close()).To(Succeed())
			Expect(resp.StatusCode).To(Equal(200), path)
		}
	})
})

var _ = Describe("invalid settings", func() {
	It("prevent a process from starting", func() {
		dir := GinkgoT().TempDir()
		file := dir + "/entry.jsonc"
		Expect(os.WriteFile(file, []byte(`{"Name": "x", "Colour": "red"}`), 0o600)).To(Succeed())
		r := cfdriver.Command("", "entry", "-settings", file)
		Expect(r.Code).To(Equal(1))
		Expect(r.Err).To(And(ContainSubstring("entry.jsonc:1: Colour: unknown key"), ContainSubstring("Callers: must be an IP number")))
	})
})
