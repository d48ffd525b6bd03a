package cfdriver

import (
	"os"
	"os/exec"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

// Result is the output and the exit code of a command.
type Result struct {
	Code int
	Out  string
	Err  string
}

// Command runs the program under test with an operator's token in its environment.
func Command(operatorToken string, args ...string) Result {
	GinkgoHelper()
	cmd := exec.Command(programPath, args...)
	cmd.Env = append(os.Environ(), "CRANBERRYFORD_TOKEN="+operatorToken)
	s, err := gexec.Start(cmd, nil, nil)
	Expect(err).NotTo(HaveOccurred())
	s.Wait(20 * time.Second)
	return Result{Code: s.ExitCode(), Out: string(s.Out.Contents()), Err: string(s.Err.Contents())}
}

// OperatorCommand runs an operator's command, with a valid token, against the entry with the
// given index.
func (c *Cluster) OperatorCommand(entry int, command string, args ...string) Result {
	GinkgoHelper()
	all := append([]string{command, "-entry", c.Entries[entry].Operators.String()}, args...)
	return Command(validToken, all...)
}

// WriteFile writes a file to the test's temporary directory and returns its path.
func (c *Cluster) WriteFile(name, text string) string {
	GinkgoHelper()
	Expect(os.WriteFile(c.path(name), []byte(text), 0o600)).To(Succeed())
	return c.path(name)
}

// LogsOf returns the log output of the process with the given name.
func (c *Cluster) LogsOf(name string) string {
	GinkgoHelper()
	data, err := os.ReadFile(c.path(name + ".log"))
	Expect(err).NotTo(HaveOccurred())
	return string(data)
}
