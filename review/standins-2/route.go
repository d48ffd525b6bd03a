package main

import (
	"fmt"
	"log"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	routeTime  = 85 * time.Second
	crashEvery = 2500 * time.Millisecond
	downTime   = 500 * time.Millisecond
	jobEvery   = 20 * time.Millisecond
)

// playRoute: worker 0 crashes each few seconds, and each second lifetime is of kind a. All jobs
// require the other kind.
func playRoute(d *deployment) int {
	var accepted, refused atomic.Int64
	stop, done := make(chan struct{}), make(chan struct{})
	go func() { defer close(done); d.submitRouted(stop, &accepted, &refused) }()
	end := time.Now().Add(routeTime)
	kinds := []string{"a", requiredLabel}
	for n := 0; hasTrouble() && time.Now().Before(end); n++ {
		time.Sleep(crashEvery)
		_ = d.workers[0].Process.Signal(syscall.SIGKILL)
		_ = d.workers[0].Wait()
		d.note("worker i-0 is killed")
		time.Sleep(downTime)
		if err := d.worker(0, kinds[n%2]); err != nil {
			log.Print(err)
			return 2
		}
	}
	time.Sleep(time.Until(end))
	close(stop)
	<-done
	time.Sleep(3 * time.Second)
	data, err := os.ReadFile(d.record)
	if err != nil {
		log.Print(err)
		return 2
	}
	right, wrong := strings.Count(string(data), "which has its label"), strings.Count(string(data), "which LACKS its label")
	result := fmt.Sprintf("jobs accepted %d, not accepted %d; starts with the label %d, without it %d", accepted.Load(), refused.Load(), right, wrong)
	d.note("%s", result)
	fmt.Println(result)
	switch {
	case accepted.Load() == 0 || right == 0:
		return 2
	case wrong > 0:
		return 1
	}
	return 0
}

// submitRouted hands in jobs of one task each, which requires the label.
func (d *deployment) submitRouted(stop <-chan struct{}, accepted, refused *atomic.Int64) {
	tick := time.NewTicker(jobEvery)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		go func() {
			body := fmt.Sprintf(`{"spec":"task","steps":[{"count":1,"cpu":500,"mem_mb":100,"estimated_ms":150,"requirements":%q}]}`, requiredLabel)
			if status, _ := d.call(http.MethodPost, fmt.Sprintf("%016x", rand.Uint64()), body); status == http.StatusOK {
				accepted.Add(1)
			} else {
				refused.Add(1)
			}
		}()
	}
}
