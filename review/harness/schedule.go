package main

import (
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// memoryLimit is memory_mb of an edge machine of the site, in MB.
	memoryLimit = 284
	// restartDelay is the short delay after which the platform restarts a process that has ended.
	restartDelay = 500 * time.Millisecond
	// endsOfFault is the number of ends of its own at which a process counts for the rule Fault, and
	// machinesOfFault the number of such machines that break it: a tenth, two at least.
	endsOfFault     = 3
	machinesOfFault = 2
)

// rss returns the resident memory of a process in MB.
func rss(pid int) int {
	data, _ := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	for _, line := range strings.Split(string(data), "\n") {
		if v, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(v)[0])
			return kb / 1024
		}
	}
	return 0
}

// guardMemory does what the platform does: it kills an entry that exceeds the memory limit, and
// restarts it after restartDelay. It returns a function that ends it and returns how often each
// entry was killed.
func (f *fleet) guardMemory() func() []int {
	stop := make(chan struct{})
	kills := make([]int, len(f.entries))
	var wg sync.WaitGroup
	for i, p := range f.entries {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				if mb := rss(p.cmd.Process.Pid); mb > memoryLimit {
					kills[i]++
					if kills[i] <= 5 {
						f.rec("%s uses %d MB, its limit is %d MB", p.name, mb, memoryLimit)
						f.kill(p)
					} else {
						_ = p.cmd.Process.Kill()
						<-p.done
					}
					time.Sleep(restartDelay)
					f.launch(p)
				}
			}
		})
	}
	return func() []int { close(stop); wg.Wait(); return kills }
}

// scheduleCase: some requesters hand in jobs with many occurrences while a job runs whose tasks last.
func scheduleCase(program, record string, trouble bool) (*fleet, int) {
	f := newFleet(program, record, 3, 4, plainLabels)
	watch := f.submit(step{Count: 6, CPU: 1000, MemMB: 256, EstimatedMS: 500, Lasts: true})
	f.await(10*time.Second, "start of all tasks", f.allRun(6))
	f.rec("all tasks of %s run", watch)
	unguard := f.guardMemory()
	occurrences := 10
	if trouble {
		occurrences = 100000
	}
	first := time.Now().Add(time.Hour).UnixMilli()
	var accepted []string
	for range 12 {
		id, body := f.newJob([]step{{Count: 1, CPU: 100, MemMB: 64, EstimatedMS: 200}}, schedule{Count: occurrences, FirstRunMS: first, PeriodMS: 60000})
		for attempt := range 8 {
			entry := f.jobs + attempt
			status, answer := f.call(entry, http.MethodPost, queuePrefix+id, body)
			f.rec("POST %s (%d occurrences, one each minute) to %s -> %d %s", id, occurrences, f.entries[entry%len(f.entries)].name, status, answer)
			if status/100 == 2 {
				accepted = append(accepted, id)
				break
			}
			time.Sleep(300 * time.Millisecond)
		}
	}
	f.rec("%d jobs with %d occurrences were accepted", len(accepted), occurrences)
	lost := map[string]bool{}
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for task, r := range f.idleTasks(watch) {
			if time.Since(r.ended) >= afterLast+idleLimit && !lost[task] {
				lost[task] = true
				f.rec("LOST %s: its last run ended %q at %s; nothing of it has run since; the workers use %d of %d millicores", task, r.how, f.at(r.ended), f.usedCPU(), len(f.workers)*16000)
			}
		}
	}
	machines := 0
	for i, n := range unguard() {
		f.rec("%s exceeded its memory %d times", f.entries[i].name, n)
		if n >= endsOfFault {
			machines++
		}
	}
	if machines >= machinesOfFault {
		f.rec("Fault: processes of %d machines ended by themselves %d times or more", machines, endsOfFault)
	}
	return f, len(lost)
}
