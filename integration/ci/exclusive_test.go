// Package ci holds the tests of the scripts in .ci.
package ci

import (
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// newRun returns a script that takes the lock as .ci/run does, and then runs the given commands.
func newRun(t *testing.T, lock, commands string) *exec.Cmd {
	t.Helper()
	c := exec.CommandContext(t.Context(), "bash", "-c", "set -euo pipefail; . .ci/exclusive; "+commands)
	c.Dir = filepath.Join("..", "..")
	c.Env = append(os.Environ(), "CRANBERRYFORD_CI_LOCK="+lock)
	return c
}

// hold starts a run that prints the ID of a process in its background and goes on until its input ends.
func hold(t *testing.T, lock string) (run *exec.Cmd, background int, end func()) {
	t.Helper()
	g := NewWithT(t)
	run = newRun(t, lock, `cat <&0 >/dev/null 2>&1 & echo $!; wait`)
	// Wait would close a StdinPipe.
	stdin, in, err := os.Pipe()
	g.Expect(err).NotTo(HaveOccurred())
	run.Stdin = stdin
	out, err := run.StdoutPipe()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(run.Start()).To(Succeed())
	g.Expect(stdin.Close()).To(Succeed())
	line := make([]byte, 100)
	n, err := out.Read(line)
	g.Expect(err).NotTo(HaveOccurred())
	background, err = strconv.Atoi(strings.TrimSpace(string(line[:n])))
	g.Expect(err).NotTo(HaveOccurred())
	return run, background, func() { _ = in.Close() }
}

// Two runs at once use the same addresses, also if one of them was stopped and left processes behind.
func TestRunRefusesToStartBesideAnother(t *testing.T) {
	g := NewWithT(t)
	lock := filepath.Join(t.TempDir(), "lock")
	run, background, end := hold(t, lock)
	defer end()
	out, err := newRun(t, lock, "echo started").CombinedOutput()
	g.Expect(err).To(HaveOccurred())
	g.Expect(string(out)).To(ContainSubstring("another .ci/run"))
	g.Expect(string(out)).To(ContainSubstring(strconv.Itoa(run.Process.Pid) + " bash"))
	g.Expect(string(out)).NotTo(ContainSubstring("started"))

	g.Expect(run.Process.Kill()).To(Succeed())
	_ = run.Wait()
	out, err = newRun(t, lock, "echo started").CombinedOutput()
	g.Expect(err).To(HaveOccurred(), "a process that the run left behind")
	g.Expect(string(out)).To(ContainSubstring(strconv.Itoa(background) + " cat"))

	end()
	g.Eventually(func() error { return newRun(t, lock, "true").Run() }, "10s").Should(Succeed())
	out, err = newRun(t, lock, "echo started").CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(out)).To(Equal("started\n"))
}

// The lock must not fail a run that is alone, whoever has created the file.
func TestRunStartsAlone(t *testing.T) {
	dir := t.TempDir()
	readOnly := filepath.Join(dir, "read-only")
	NewWithT(t).Expect(os.WriteFile(readOnly, nil, 0o444)).To(Succeed())
	for name, lock := range map[string]string{
		"no file yet":          filepath.Join(dir, "new"),
		"a file of other user": readOnly,
		"no directory":         filepath.Join(dir, "x", "y"),
	} {
		t.Run(name, func(t *testing.T) {
			out, err := newRun(t, lock, "echo started").CombinedOutput()
			g := NewWithT(t)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(out)).To(HaveSuffix("started\n"))
		})
	}
}
