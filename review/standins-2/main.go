// Command standins plays a small deployment with stand-ins for the platform's store, the workers and
// the requesters. The case route: one worker crashes and comes back as another kind under the same
// ID. The case gang: a gang of tasks that fill comes while tasks that fill and last use the
// processors. It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case
// could not run.
package main

import (
	"bytes"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

const workers = 4

func main() {
	if len(os.Args) > 2 && os.Args[1] == "worker" {
		runWorker(os.Args[2:])
	}
	if len(os.Args) != 4 {
		log.Print("usage: standins route|gang PROGRAM RECORD")
		os.Exit(2)
	}
	cases := map[string]func(*deployment) int{"route": playRoute, "gang": playGang}
	play := cases[os.Args[1]]
	if play == nil {
		log.Print("no such case")
		os.Exit(2)
	}
	os.Exit(run(play, os.Args[2], os.Args[3]))
}

func hasTrouble() bool { return os.Getenv("TROUBLE") != "0" }

// freeAddrs returns loopback addresses whose ports are free. The host is drawn, so that copies of the
// program that run at the same time do not take each other's ports.
func freeAddrs(n int) []string {
	host := fmt.Sprintf("127.%d.%d.%d:0", 16+rand.IntN(100), rand.IntN(256), 1+rand.IntN(254))
	var out []string
	var open []net.Listener
	for range n {
		l, err := net.Listen("tcp", host)
		if err != nil {
			log.Print(err)
			os.Exit(2)
		}
		open = append(open, l)
		out = append(out, l.Addr().String())
	}
	for _, l := range open {
		_ = l.Close()
	}
	return out
}

type deployment struct {
	dir, program, record string
	front                string
	// workerAddrs and agentAddrs are the addresses of each worker, and for its check-ins.
	workerAddrs, agentAddrs []string
	workers                 []*exec.Cmd
	procs                   []*exec.Cmd
}

// role starts a role of the system with its settings.
func (d *deployment) role(role, name, settings string) error {
	path := filepath.Join(d.dir, name+".jsonc")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	out, err := os.Create(filepath.Join(d.dir, name+".log"))
	if err != nil {
		return err
	}
	c := exec.Command(d.program, role)
	c.Env = []string{"CRANBERRYFORD_BOOT=" + path, "CRANBERRYFORD_KEY=cranberryford-inner-protocol", "PATH=" + os.Getenv("PATH")}
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		return err
	}
	d.procs = append(d.procs, c)
	return nil
}

// worker starts the process of a worker.
func (d *deployment) worker(i int, kind string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	c := exec.Command(self, "worker", fmt.Sprintf("i-%d", i), d.workerAddrs[i], d.agentAddrs[i], "svc", kind+",r1-1", d.record)
	c.Stderr = os.Stderr
	d.workers[i] = c
	return c.Start()
}

func (d *deployment) note(format string, args ...any) { note(d.record, format, args...) }

// config is the manifest.
const config = `{"version":1,"routes":[{"name":"q","host":"q.example","path_prefix":"/q/","service":"svc","priority":0,"max_attempts":3,"stretch":2,"target_latency_ms":500}],"services":[{"name":"svc","admission_check":true}],"limits":{}}`

// run starts a deployment, plays a case on it and ends all processes.
func run(play func(*deployment) int, program, record string) int {
	dir, err := os.MkdirTemp("", "standins")
	if err != nil {
		log.Print(err)
		return 2
	}
	defer func() { _ = os.RemoveAll(dir) }()
	_ = os.Remove(record)
	a := freeAddrs(5 + 3*workers)
	storeAddr, ready, inner, metrics := a[0], a[2], a[3], a[4]
	d := &deployment{dir: dir, program: program, record: record, front: a[1], workers: make([]*exec.Cmd, workers)}
	s := newStore()
	s.put("keyed.op", "config", []byte(config))
	go func() { log.Print(http.ListenAndServe(storeAddr, s)) }()
	defer func() {
		for _, c := range append(d.procs, d.workers...) {
			if c != nil && c.Process != nil {
				_ = c.Process.Kill()
				_ = c.Wait()
			}
		}
	}()
	err = d.role("job-entry", "edge-1", fmt.Sprintf(`{"Name":"edge-1","DataCentre":"z1","Metrics":%q,"Callers":%q,"Readiness":%q,"Inner":%q,"Store":%q,"MemoryMB":284}`, metrics, d.front, ready, inner, storeAddr))
	for i := 0; i < workers && err == nil; i++ {
		w := a[5+3*i:]
		d.workerAddrs, d.agentAddrs = append(d.workerAddrs, w[1]), append(d.agentAddrs, w[2])
		err = d.role("job-agent", fmt.Sprintf("side-%d", i), fmt.Sprintf(`{"Name":"side-%d","DataCentre":"z1","Metrics":%q,"Worker":%q,"Heartbeats":%q,"Entries":[%q]}`, i, w[0], w[1], w[2], inner))
		if err == nil {
			err = d.worker(i, requiredLabel)
		}
	}
	if err != nil {
		log.Print(err)
		return 2
	}
	if !waitReady(ready) {
		log.Print("the entry is not ready")
		return 2
	}
	time.Sleep(2 * time.Second)
	return play(d)
}

func waitReady(addr string) bool {
	for range 100 {
		if resp, err := http.Get("http://" + addr + "/readiness"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return true
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

var requester = http.Client{Timeout: 3 * time.Second}

// call makes a requester's call for a job. It returns the status, or 0 without an answer, and the body.
func (d *deployment) call(method, id, body string) (int, string) {
	req, err := http.NewRequest(method, "http://"+d.front+"/q/"+id, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, ""
	}
	req.Host = "q.example"
	resp, err := requester.Do(req)
	if err != nil {
		d.note("%s of job %s %s: no answer: %v", method, id, body, err)
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	d.note("%s of job %s %s: answered %d %s", method, id, body, resp.StatusCode, data)
	return resp.StatusCode, string(data)
}
