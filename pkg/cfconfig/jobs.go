package cfconfig

import (
	"net/netip"
	"time"
)

// JobEntry holds the settings of an entry that serves jobs.
type JobEntry struct {
	Name       string `validate:"cfname" doc:"name of the VM; unique in the installation"`
	DataCentre string `validate:"cfname" doc:"data centre that the VM is in"`

	Callers   netip.AddrPort `validate:"addr" doc:"address for callers' requests"`
	Readiness netip.AddrPort `validate:"addr" doc:"address for the platform's readiness checks"`
	Inner     netip.AddrPort `validate:"addr" doc:"address for connections from other entries and agents"`
	Metrics   netip.AddrPort `doc:"address at which metrics are served; empty: not served"`
	Store     netip.AddrPort `validate:"addr" doc:"address of the platform's store"`
	Advice    netip.AddrPort `doc:"address of the policy service that decides which workers may run a step; empty: none"`
	Topic     string         `doc:"store topic that holds the jobs"`
	Operators string         `doc:"store topic that operators write to"`
	MemoryMB  int            `validate:"min=64,max=1048576" doc:"memory limit of the process in MB; jobs that the entries together have no memory for are rejected"`
	Cores     float64        `validate:"min=0,max=1024" doc:"CPU limit of the process in cores; entries with more of it become the planner first; 0: not known"`

	Lease        JobLease      `doc:"periods that the safety of leases depends on; must be the same in all processes"`
	Planning     JobPlanning   `doc:"periods of the planner"`
	StoreTimeout StoreTimeout  `doc:"timeouts of calls to the store"`
	Beat         time.Duration `validate:"min=20ms,max=10s" doc:"interval of heartbeats on a connection without other messages; at most a third of Suspect"`
	Suspect      time.Duration `validate:"min=100ms,max=30s" doc:"time without received messages after which a connection is closed"`
	Drain        time.Duration `validate:"min=0s,max=5m" doc:"maximum time that a shutdown waits for requests"`

	LogLevel string `validate:"oneof=debug info warn error" doc:"minimum level of log lines: debug, info, warn or error"`
}

// JobLease holds the periods of the leases of jobs' tasks.
type JobLease struct {
	Grant     time.Duration `validate:"min=300ms,max=60s" doc:"how long an agent is allowed to extend leases, counted from when it sent a request that the planner has answered"`
	Lease     time.Duration `validate:"min=300ms,max=60s" doc:"duration of a lease on the worker's clock"`
	Authority time.Duration `validate:"min=300ms,max=60s" doc:"how long a planner is allowed to give orders, counted from when it started a read of the store that found no newer epoch (leader lease)"`
	Promise   time.Duration `validate:"min=300ms,max=60s" doc:"how long an entry that cannot reach the store promises the planner not to claim an epoch"`
}

// JobPlanning holds the periods of the planner.
type JobPlanning struct {
	Tick    time.Duration `validate:"min=5ms,max=10s" doc:"maximum time between two decisions"`
	Silence time.Duration `validate:"min=100ms,max=5m" doc:"time without messages from the planner after which another entry takes over"`
	Resend  time.Duration `validate:"min=50ms,max=1m" doc:"time after which an order without a result is resent"`
	Keep    time.Duration `validate:"min=1s,max=24h" doc:"how long a job is kept after it has ended"`
}

// StoreTimeout holds the timeouts of calls to the store.
type StoreTimeout struct {
	Call time.Duration `validate:"min=50ms,max=1m" doc:"timeout of one call"`
	Wait time.Duration `validate:"min=50ms,max=30s" doc:"how long a read waits for new records (long poll); less than Lease.Authority"`
}

// DefaultJobEntry returns the default settings of an entry that serves jobs.
func DefaultJobEntry() JobEntry {
	return JobEntry{
		Topic: "keyed.jobs", Operators: "keyed.op", MemoryMB: 160, Lease: DefaultJobLease(),
		Planning: JobPlanning{
			Tick: 50 * time.Millisecond, Silence: time.Second, Resend: 600 * time.Millisecond, Keep: 150 * time.Second,
		},
		StoreTimeout: StoreTimeout{Call: time.Second, Wait: 400 * time.Millisecond},
		Beat:         200 * time.Millisecond, Suspect: 800 * time.Millisecond, Drain: 5 * time.Second,
		LogLevel: "info",
	}
}

// DefaultJobLease returns the default periods of the leases of jobs' tasks.
func DefaultJobLease() JobLease {
	return JobLease{Grant: 2 * time.Second, Lease: 5 * time.Second, Authority: 2 * time.Second, Promise: 1500 * time.Millisecond}
}

// JobAgent holds the settings of an agent that runs the tasks of jobs.
type JobAgent struct {
	Name       string `validate:"cfname" doc:"name of the VM; unique in the installation"`
	DataCentre string `validate:"cfname" doc:"data centre that the VM is in"`

	Worker     netip.AddrPort   `validate:"addr" doc:"address of the worker on this VM"`
	Heartbeats netip.AddrPort   `validate:"addr" doc:"address to which the worker on this VM sends its heartbeats"`
	Metrics    netip.AddrPort   `doc:"address at which metrics are served; empty: not served"`
	Entries    []netip.AddrPort `doc:"Inner addresses of entries to connect to; out-of-date addresses are allowed; empty: the agent waits until its settings name some"`

	Lease        JobLease      `doc:"periods that the safety of leases depends on; must be the same in all processes"`
	Ask          time.Duration `validate:"min=50ms,max=20s" doc:"interval between the agent's requests to the planner for permission to extend leases; at most a third of Lease.Grant"`
	HoldWait     time.Duration `validate:"min=50ms,max=2s" doc:"how long a call to the worker waits for a run to end (long poll); at most a quarter of Lease.Lease"`
	OrderTimeout time.Duration `validate:"min=50ms,max=10s" doc:"timeout of one call to the worker, not counting HoldWait"`
	Beat         time.Duration `validate:"min=20ms,max=10s" doc:"interval of heartbeats on a connection without other messages; at most a third of Suspect"`
	Suspect      time.Duration `validate:"min=100ms,max=30s" doc:"time without received messages after which a connection is closed"`
	Reconnect    time.Duration `validate:"min=10ms,max=1m" doc:"interval between attempts to connect to an entry"`

	LogLevel string `validate:"oneof=debug info warn error" doc:"minimum level of log lines: debug, info, warn or error"`
}

// DefaultJobAgent returns the default settings of an agent that runs the tasks of jobs. It
// leaves the names and addresses empty, because they have no defaults.
func DefaultJobAgent() JobAgent {
	return JobAgent{
		Lease: DefaultJobLease(), Ask: 300 * time.Millisecond, HoldWait: 300 * time.Millisecond,
		OrderTimeout: 400 * time.Millisecond, Beat: 200 * time.Millisecond, Suspect: 800 * time.Millisecond,
		Reconnect: 200 * time.Millisecond, LogLevel: "info",
	}
}
