// Command harness runs one case of the review: it starts the system's processes, the stand-ins
// of the platform, its workers and its requesters, and judges what these have seen.
//
//	harness CASE PROGRAM RECORD
//
// With TROUBLE=0 in the environment the disruption is left out. The exit status is 1 if the rule
// was broken, 0 if it held, 2 if the case could not be run.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(program, record string, trouble bool) (f *fleet, broken int){
	"ends":     endsCase,
	"orphan":   orphanCase,
	"cancel":   cancelCase,
	"silent":   silentCase,
	"schedule": scheduleCase,
	// Further findings, see REPORT.md.
	"size":        sizeCase,
	"lasting":     lastingCase,
	"seeds":       seedsCase,
	"silentstore": silentStoreCase,
	"loss":        lossCase,
	"drain":       drainCase,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Println("usage: harness CASE PROGRAM RECORD")
		os.Exit(2)
	}
	f, broken := cases[os.Args[1]](os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	f.recordRuns()
	verdict := "the rule held"
	status := 0
	if broken > 0 {
		verdict, status = fmt.Sprintf("the rule was broken %d times", broken), 1
	}
	f.rec("%s", verdict)
	fmt.Println(verdict)
	f.close()
	os.Exit(status)
}
