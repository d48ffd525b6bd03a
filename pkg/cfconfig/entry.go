// Package cfconfig defines the settings of the processes: their types, defaults and
// validation. Each process has one settings file, written in JSON with comments.
package cfconfig

import (
	"net/netip"
	"time"
)

// Entry holds the settings of an entry.
type Entry struct {
	Name       string `validate:"cfname" doc:"name of this entry, kept over restarts; unique in the installation"`
	DataCentre string `validate:"cfname" doc:"data centre that the VM is in"`

	Callers   netip.AddrPort `validate:"addr" doc:"address for callers' requests"`
	Operators netip.AddrPort `validate:"addr" doc:"address for operators' requests"`
	Inner     netip.AddrPort `validate:"addr" doc:"address for connections from other entries and agents"`

	Advertise netip.AddrPort `doc:"address at which other processes reach Inner; empty: Inner itself"`
	Source    netip.Addr     `doc:"local IP address to connect from; empty: the system chooses"`

	Log     netip.AddrPort   `validate:"addr" doc:"address of the platform's log service"`
	Stream  string           `validate:"cfname" doc:"name of this installation's stream on the log service"`
	Entries []netip.AddrPort `doc:"Inner addresses of the other entries"`
	KeyFile string           `doc:"file with the key that all processes share; empty: the key is read from the environment variable CRANBERRYFORD_KEY"`
	Tokens  []Token          `validate:"dive" doc:"operators that may connect, with the hashes of their tokens"`

	Lease   Lease   `doc:"periods that the safety of leases depends on; must be the same in all processes"`
	Planner Planner `doc:"periods and limits of the planner"`
	Routing Routing `doc:"routing of calls to targets"`
	Limits  Limits  `doc:"limits on requests of callers and operators"`
	Keyed   Keyed   `doc:"handling of calls with an Idempotency-Key"`

	LogLevel string `validate:"oneof=debug info warn error" doc:"minimum level of log lines: debug, info, warn or error"`
}

// Token is the name and the token hash of an operator who may connect.
type Token struct {
	Name string `validate:"cfname" doc:"operator's name in the audit trail"`
	Hash string `validate:"len=64,hexadecimal" doc:"SHA-256 hash of the token, in hexadecimal"`
}

// Lease holds the validity of a grant, the interval between an agent's requests for lease
// time, the interval between polls among entries, and the margin of an eviction wait.
type Lease struct {
	Grant  time.Duration `validate:"min=300ms,max=60s" doc:"validity of a grant of lease time"`
	Ask    time.Duration `validate:"min=50ms,max=20s" doc:"interval between an agent's requests for lease time; at most a third of Grant"`
	Margin time.Duration `validate:"min=50ms,max=60s" doc:"time added to an eviction wait to cover the drift of clocks"`
	Poll   time.Duration `validate:"min=50ms,max=20s" doc:"interval between polls among entries; at most a third of Grant"`
}

// Planner holds the periods and limits of the planner.
type Planner struct {
	Tick            time.Duration `validate:"min=10ms,max=10s" doc:"interval between two decisions of the planner"`
	Silence         time.Duration `validate:"min=200ms,max=5m" doc:"time without messages from a worker after which the worker is fenced"`
	EntrySilence    time.Duration `validate:"min=500ms,max=10m" doc:"time without messages from an entry after which the entry is removed from the membership"`
	PlannerSilence  time.Duration `validate:"min=500ms,max=5m" doc:"time without messages from the planner after which another entry takes over"`
	MaxBatch        int           `validate:"min=1,max=10000" doc:"number of records at which a decision stops adding further records"`
	HeadroomPercent int           `validate:"min=0,max=90" doc:"capacity that batch tasks must leave unused, in percent of each worker's capacity"`
	QuarantineAfter int           `validate:"min=1,max=16" doc:"number of different workloads that must fail in a row for a worker to be quarantined"`
	QuarantineFor   time.Duration `validate:"min=1s,max=24h" doc:"how long a worker is quarantined; afterwards it gets tasks again, on probation"`
	RetryAfter      time.Duration `validate:"min=10ms,max=1h" doc:"delay before a failed task is retried"`
	HarmLimit       float64       `validate:"min=0,max=100" doc:"maximum sum of the slowdowns of all service tasks on a worker; the slowdown of one service task is the time that batch tasks add to its calls, as a fraction of the time without batch tasks; a batch task that would exceed the limit waits for another worker; 0: no limit"`
	HarmWait        time.Duration `validate:"min=0s,max=24h" doc:"maximum time that a batch task waits for a worker below HarmLimit"`
	SnapshotEvery   int           `validate:"min=10,max=10000000" doc:"number of log entries between two snapshots; must be well below the log's retention"`
	SnapshotAge     time.Duration `validate:"min=1s,max=24h" doc:"time between two snapshots; must be well below the log's retention"`
	AppendTimeout   time.Duration `validate:"min=100ms,max=5m" doc:"maximum time for which a failed append to the log is retried"`
	Placement       string        `validate:"oneof=Spread FirstFit" doc:"policy that chooses workers: Spread or FirstFit"`
}

// Routing holds the settings for routing calls to targets.
type Routing struct {
	Stale        time.Duration `validate:"min=100ms,max=60s" doc:"time without messages from a worker after which its targets get no new calls"`
	Suspect      time.Duration `validate:"min=100ms,max=30s" doc:"time without received messages after which a connection is not used for new calls"`
	Beat         time.Duration `validate:"min=20ms,max=10s" doc:"interval of heartbeats on a connection without other messages; at most a third of Suspect"`
	RetryPercent int           `validate:"min=0,max=100" doc:"maximum number of retries, in percent of recent calls"`
	EjectPercent int           `validate:"min=0,max=90" doc:"maximum percentage of a service's targets that may be ejected"`
	EjectAfter   int           `validate:"min=1,max=1000" doc:"number of consecutive failures after which a target is ejected"`
	EjectFor     time.Duration `validate:"min=10ms,max=10m" doc:"time from a target's ejection to its first probe call, and between two probe calls"`
	Picker       string        `validate:"oneof=FewChoices LeastInFlight RoundRobin Random" doc:"policy that chooses targets: FewChoices, LeastInFlight, RoundRobin or Random"`
}

// Limits holds the limits on requests of callers and operators.
type Limits struct {
	MaxBodyBytes     int64         `validate:"min=1024,max=16777216" doc:"maximum size of a request or response body, in bytes"`
	MaxHeaderBytes   int           `validate:"min=1024,max=1048576" doc:"maximum size of a request header, in bytes"`
	MaxTimeout       time.Duration `validate:"min=10ms,max=1h" doc:"maximum timeout that a caller may request"`
	HeaderTimeout    time.Duration `validate:"min=100ms,max=5m" doc:"timeout for receiving a request header"`
	BodyTimeout      time.Duration `validate:"min=100ms,max=30m" doc:"timeout for receiving a whole request"`
	IdleTimeout      time.Duration `validate:"min=1s,max=1h" doc:"maximum time that a connection may be idle"`
	PerCallerAddress int           `validate:"min=1,max=100000" doc:"maximum number of requests in flight from one caller address"`
	ShutdownTimeout  time.Duration `validate:"min=100ms,max=10m" doc:"maximum time that a shutdown waits for calls in flight"`
	ShutdownPause    time.Duration `validate:"min=0s,max=5m" doc:"delay before a shutdown closes idle connections, in which the load balancer and callers switch to other entries"`
}

// Keyed holds the settings for calls with an Idempotency-Key.
type Keyed struct {
	MaxAnswerBytes int           `validate:"min=0,max=65536" doc:"maximum size of a response stored for duplicate calls, in bytes"`
	ClaimTimeout   time.Duration `validate:"min=10ms,max=60s" doc:"timeout for claiming a key on the log, after which the call is refused as NotRun"`
	Outage         string        `validate:"oneof=Refuse" doc:"handling of a call whose key cannot be claimed while the log is down: Refuse"`
}

// DefaultEntry returns the default settings of an entry.
func DefaultEntry() Entry {
	return Entry{
		Stream: "cranberryford",
		Lease:  DefaultLease(),
		Planner: Planner{
			Tick: 50 * time.Millisecond, Silence: 2 * time.Second, EntrySilence: 10 * time.Second,
			PlannerSilence: 3 * time.Second, MaxBatch: 1000, HeadroomPercent: 10,
			QuarantineAfter: 3, QuarantineFor: time.Minute, RetryAfter: time.Second, HarmLimit: 2, HarmWait: 2 * time.Minute,
			SnapshotEvery: 2000, SnapshotAge: 10 * time.Minute, AppendTimeout: 5 * time.Second, Placement: "Spread",
		},
		Routing: Routing{
			Stale: 2 * time.Second, Suspect: 750 * time.Millisecond, Beat: 200 * time.Millisecond,
			RetryPercent: 10, EjectPercent: 30, EjectAfter: 5, EjectFor: 2 * time.Second, Picker: "FewChoices",
		},
		Limits: Limits{
			MaxBodyBytes: 8 << 20, MaxHeaderBytes: 32 << 10, MaxTimeout: 2 * time.Minute,
			HeaderTimeout: 5 * time.Second, BodyTimeout: time.Minute, IdleTimeout: 2 * time.Minute,
			PerCallerAddress: 2000, ShutdownTimeout: 30 * time.Second, ShutdownPause: 2 * time.Second,
		},
		Keyed:    Keyed{MaxAnswerBytes: 4096, ClaimTimeout: time.Second, Outage: "Refuse"},
		LogLevel: "info",
	}
}

// DefaultLease returns the default periods of grants and leases.
func DefaultLease() Lease {
	return Lease{
		Grant: 3 * time.Second, Ask: 500 * time.Millisecond,
		Margin: 500 * time.Millisecond, Poll: 250 * time.Millisecond,
	}
}
