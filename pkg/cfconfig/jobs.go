package cfconfig

import (
	"net/netip"
	"time"
)

// JobEntry is the settings of an entry that serves jobs on the users' platform.
type JobEntry struct {
	Name       string `validate:"cfname" doc:"name of the VM; unique in the installation"`
	DataCentre string `validate:"cfname" doc:"data centre that the VM is in"`

	Callers   netip.AddrPort `validate:"addr" doc:"where callers' requests come in"`
	Readiness netip.AddrPort `validate:"addr" doc:"where the platform asks whether this entry takes requests"`
	Inner     netip.AddrPort `validate:"addr" doc:"where other entries and agents connect"`
	Metrics   netip.AddrPort `doc:"where counters are served; empty: nowhere"`
	Store     netip.AddrPort `validate:"addr" doc:"the platform's store"`
	Advice    netip.AddrPort `doc:"the policy service that decides which workers may run a step; empty: none"`
	Topic     string         `doc:"topic of the store that keeps the jobs"`
	Operators string         `doc:"topic of the store that operators write"`

	Lease        JobLease      `doc:"periods that the safety of leases rests on; the same in all processes"`
	Planning     JobPlanning   `doc:"the planner's periods"`
	StoreTimeout StoreTimeout  `doc:"times for calls to the store"`
	Beat         time.Duration `validate:"min=20ms,max=10s" doc:"how often a connection is shown to be alive; at most a third of Suspect"`
	Suspect      time.Duration `validate:"min=100ms,max=30s" doc:"silence after which a connection is closed"`
	Drain        time.Duration `validate:"min=0s,max=5m" doc:"longest time that a shutdown waits for requests"`

	LogLevel string `validate:"oneof=debug info warn error" doc:"least level of log lines: debug, info, warn or error"`
}

// JobLease is the periods of leases of jobs' tasks.
type JobLease struct {
	Grant     time.Duration `validate:"min=300ms,max=60s" doc:"how long an agent extends leases after it asked the planner"`
	Lease     time.Duration `validate:"min=300ms,max=60s" doc:"how long a lease lasts on the worker's clock"`
	Authority time.Duration `validate:"min=300ms,max=60s" doc:"how long a planner gives orders after it asked the store for a newer epoch"`
	Promise   time.Duration `validate:"min=300ms,max=60s" doc:"how long an entry without the store promises the planner not to take over"`
}

// JobPlanning is the planner's periods.
type JobPlanning struct {
	Tick    time.Duration `validate:"min=5ms,max=10s" doc:"longest time between two decisions"`
	Silence time.Duration `validate:"min=100ms,max=5m" doc:"silence of the planner after which another entry takes over"`
	Resend  time.Duration `validate:"min=50ms,max=1m" doc:"time after which an order without a result is sent again"`
	Keep    time.Duration `validate:"min=1s,max=24h" doc:"how long a job that ended is kept"`
}

// StoreTimeout is the times for calls to the store.
type StoreTimeout struct {
	Call time.Duration `validate:"min=50ms,max=1m" doc:"time for one call"`
	Wait time.Duration `validate:"min=50ms,max=30s" doc:"how long a read waits for records; less than Lease.Authority"`
}

// DefaultJobEntry returns the defaults of an entry that serves jobs.
func DefaultJobEntry() JobEntry {
	return JobEntry{
		Topic: "keyed.jobs", Operators: "keyed.op", Lease: DefaultJobLease(),
		Planning: JobPlanning{
			Tick: 50 * time.Millisecond, Silence: time.Second, Resend: 600 * time.Millisecond, Keep: 150 * time.Second,
		},
		StoreTimeout: StoreTimeout{Call: time.Second, Wait: 400 * time.Millisecond},
		Beat:         200 * time.Millisecond, Suspect: 800 * time.Millisecond, Drain: 5 * time.Second,
		LogLevel: "info",
	}
}

// DefaultJobLease returns the default periods of leases.
func DefaultJobLease() JobLease {
	return JobLease{Grant: 2 * time.Second, Lease: 5 * time.Second, Authority: 2 * time.Second, Promise: 1500 * time.Millisecond}
}

// JobAgent is the settings of an agent that runs the tasks of jobs.
type JobAgent struct {
	Name       string `validate:"cfname" doc:"name of the VM; unique in the installation"`
	DataCentre string `validate:"cfname" doc:"data centre that the VM is in"`

	Worker     netip.AddrPort   `validate:"addr" doc:"the worker on this VM"`
	Heartbeats netip.AddrPort   `validate:"addr" doc:"where the worker on this VM sends its heartbeats"`
	Metrics    netip.AddrPort   `doc:"where counters are served; empty: nowhere"`
	Entries    []netip.AddrPort `validate:"min=1" doc:"Inner addresses of entries; some may be out of date"`

	Lease        JobLease      `doc:"periods that the safety of leases rests on; the same in all processes"`
	Ask          time.Duration `validate:"min=50ms,max=20s" doc:"how often the agent asks the planner for time to extend leases; at most a third of Lease.Grant"`
	HoldWait     time.Duration `validate:"min=50ms,max=2s" doc:"how long a call to the worker waits for an end; at most a quarter of Lease.Lease"`
	OrderTimeout time.Duration `validate:"min=50ms,max=10s" doc:"time for one call to the worker"`
	Beat         time.Duration `validate:"min=20ms,max=10s" doc:"how often a connection is shown to be alive; at most a third of Suspect"`
	Suspect      time.Duration `validate:"min=100ms,max=30s" doc:"silence after which a connection is closed"`
	Reconnect    time.Duration `validate:"min=10ms,max=1m" doc:"time between attempts to connect to an entry"`

	LogLevel string `validate:"oneof=debug info warn error" doc:"least level of log lines: debug, info, warn or error"`
}

// DefaultJobAgent returns the defaults of an agent that runs the tasks of jobs.
func DefaultJobAgent() JobAgent {
	return JobAgent{
		Lease: DefaultJobLease(), Ask: 300 * time.Millisecond, HoldWait: 300 * time.Millisecond,
		OrderTimeout: 400 * time.Millisecond, Beat: 200 * time.Millisecond, Suspect: 800 * time.Millisecond,
		Reconnect: 200 * time.Millisecond, LogLevel: "info",
	}
}
