package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"
)

const (
	lastingJobs, lastingTasks = 4, 10
	singleID, gangID          = "00000000000000a1", "00000000000000a2"
	// finishTime is finish_s, and stillTime the time for which nothing may be running.
	finishTime, stillTime = 14 * time.Second, 3 * time.Second
	gangWatch             = 60 * time.Second
)

// playGang: jobs of tasks that fill and last come at once. After them come two jobs of two tasks that
// fill: the tasks of the first are independent, those of the second are a gang.
func playGang(d *deployment) int {
	submit := func(id, spec, step string) bool {
		status, _ := d.call(http.MethodPost, id, fmt.Sprintf(`{"spec":%q,"steps":[{%s,"mem_mb":256,"fills":true}]}`, spec, step))
		return status == http.StatusOK
	}
	ok := true
	for i := 0; i < lastingJobs && hasTrouble(); i++ {
		ok = submit(fmt.Sprintf("00000000000000b%d", i), lastingSpec, fmt.Sprintf(`"count":%d,"cpu":2000,"estimated_ms":500,"image":"x","long_running":true`, lastingTasks)) && ok
	}
	time.Sleep(5 * time.Second)
	ok = submit(singleID, "task", `"count":2,"cpu":3500,"estimated_ms":150,"image":"y"`) && ok
	ok = submit(gangID, "task", `"count":2,"cpu":3500,"estimated_ms":150,"image":"y","gang_scheduled":true`) && ok
	handedIn := time.Now()
	if !ok {
		fmt.Println("a job was not accepted")
		return 2
	}
	watch := gangWatch
	if !hasTrouble() {
		watch = finishTime + stillTime
	}
	waited := watch
	for time.Since(handedIn) < watch {
		time.Sleep(50 * time.Millisecond)
		if d.starts(gangID) > 0 {
			waited = time.Since(handedIn)
			break
		}
	}
	time.Sleep(time.Second)
	_, state := d.call(http.MethodGet, gangID, "")
	result := fmt.Sprintf("lasting tasks started %d; starts of the independent tasks %d, of the gang %d, after %.1f s; state of the gang's job %s",
		d.starts("00000000000000b"), d.starts(singleID), d.starts(gangID), waited.Seconds(), state)
	d.note("%s", result)
	fmt.Println(result)
	switch {
	case d.starts(singleID) < 2 || hasTrouble() && d.starts("00000000000000b") < lastingJobs*lastingTasks:
		return 2
	case waited >= finishTime+stillTime:
		return 1
	}
	return 0
}

// starts returns the number of starts of the jobs whose IDs begin with prefix.
func (d *deployment) starts(prefix string) int {
	data, err := os.ReadFile(d.record)
	if err != nil {
		return 0
	}
	return strings.Count(string(data), "start of "+prefix)
}
