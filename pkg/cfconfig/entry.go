// Package cfconfig holds the settings of the processes: their types, defaults and
// checks. A settings file is JSON with comments, one file a process.
package cfconfig

import (
	"net/netip"
	"time"
)

// Entry is the settings of an entry.
type Entry struct {
	Name       string `validate:"cfname" doc:"name of the slot that this process has; unique in the installation"`
	DataCentre string `validate:"cfname" doc:"data centre that the VM is in"`

	Callers   netip.AddrPort `validate:"addr" doc:"where callers' requests come in"`
	Operators netip.AddrPort `validate:"addr" doc:"where operators' requests come in"`
	Inner     netip.AddrPort `validate:"addr" doc:"where other entries and agents connect"`

	Advertise netip.AddrPort `doc:"where others reach Inner; empty: at Inner"`
	Source    netip.Addr     `doc:"own IP number that connections are opened from; empty: the system chooses"`

	Log     netip.AddrPort   `validate:"addr" doc:"the platform's log service"`
	Stream  string           `validate:"cfname" doc:"stream of the log that this installation keeps"`
	Entries []netip.AddrPort `doc:"Inner addresses of the other entries"`
	KeyFile string           `doc:"file with the key that all processes share; empty: taken from the environment variable CRANBERRYFORD_KEY"`
	Tokens  []Token          `validate:"dive" doc:"operators that may connect"`

	Lease   Lease   `doc:"periods that the safety of leases rests on; the same in all processes"`
	Planner Planner `doc:"the planner's limits"`
	Routing Routing `doc:"how calls are sent to targets"`
	Limits  Limits  `doc:"limits on what callers and operators send"`
	Keyed   Keyed   `doc:"calls with an Idempotency-Key"`

	LogLevel string `validate:"oneof=debug info warn error" doc:"least level of log lines: debug, info, warn or error"`
}

// Token is an operator's right to connect.
type Token struct {
	Name string `validate:"cfname" doc:"operator's name, as it stands in the audit trail"`
	Hash string `validate:"len=64,hexadecimal" doc:"SHA-256 of the token in hexadecimal digits"`
}

// Lease is the periods of grants and leases.
type Lease struct {
	Grant  time.Duration `validate:"min=300ms,max=60s" doc:"how long a grant of lease time lasts"`
	Ask    time.Duration `validate:"min=50ms,max=20s" doc:"how often an agent asks for lease time; at most a third of Grant"`
	Margin time.Duration `validate:"min=50ms,max=60s" doc:"time added to an eviction wait for the drift of clocks"`
	Poll   time.Duration `validate:"min=50ms,max=20s" doc:"how often entries ask each other; at most a third of Grant"`
}

// Planner is the planner's limits.
type Planner struct {
	Tick            time.Duration `validate:"min=10ms,max=10s" doc:"how often the planner decides"`
	Silence         time.Duration `validate:"min=200ms,max=5m" doc:"silence after which a worker is barred"`
	EntrySilence    time.Duration `validate:"min=500ms,max=10m" doc:"silence after which an entry leaves the membership"`
	PlannerSilence  time.Duration `validate:"min=500ms,max=5m" doc:"silence after which another entry becomes the planner"`
	MaxBatch        int           `validate:"min=1,max=10000" doc:"records in one decision"`
	HeadroomPercent int           `validate:"min=0,max=90" doc:"percent of each worker kept free of batch tasks"`
	QuarantineAfter int           `validate:"min=1,max=16" doc:"different workloads that fail in a row before a worker is quarantined"`
	QuarantineFor   time.Duration `validate:"min=1s,max=24h" doc:"time before a quarantined worker is tried again"`
	RetryAfter      time.Duration `validate:"min=10ms,max=1h" doc:"time before a failed task starts again"`
	HarmLimit       float64       `validate:"min=0,max=100" doc:"slowdown of a worker's services, as a share of their time alone, above which a batch task waits for another place; 0 for no limit"`
	HarmWait        time.Duration `validate:"min=0s,max=24h" doc:"longest time that a batch task waits for a place below HarmLimit"`
	SnapshotEvery   int           `validate:"min=10,max=10000000" doc:"log entries between two snapshots; well inside the log's retention"`
	SnapshotAge     time.Duration `validate:"min=1s,max=24h" doc:"time between two snapshots; well inside the log's retention"`
	AppendTimeout   time.Duration `validate:"min=100ms,max=5m" doc:"time after which an append that gets no answer is given up"`
	Placement       string        `validate:"oneof=Spread FirstFit" doc:"how workers are chosen: Spread or FirstFit"`
}

// Routing is how calls are sent.
type Routing struct {
	Stale        time.Duration `validate:"min=100ms,max=60s" doc:"silence after which a worker's targets get no new calls"`
	Suspect      time.Duration `validate:"min=100ms,max=30s" doc:"silence after which a connection is not used for new calls"`
	Beat         time.Duration `validate:"min=20ms,max=10s" doc:"how often a connection is shown to be alive; at most a third of Suspect"`
	RetryPercent int           `validate:"min=0,max=100" doc:"retries as a share of recent calls, in percent"`
	EjectPercent int           `validate:"min=0,max=90" doc:"share of a service's targets that may be ejected, in percent"`
	EjectAfter   int           `validate:"min=1,max=1000" doc:"failures in a row that eject a target"`
	EjectFor     time.Duration `validate:"min=10ms,max=10m" doc:"time before an ejected target is tried again"`
	Picker       string        `validate:"oneof=FewChoices LeastInFlight RoundRobin Random" doc:"how targets are chosen: FewChoices, LeastInFlight, RoundRobin or Random"`
}

// Limits bound what comes in from outside.
type Limits struct {
	MaxBodyBytes     int64         `validate:"min=1024,max=16777216" doc:"size of a request's or answer's body, in bytes"`
	MaxHeaderBytes   int           `validate:"min=1024,max=1048576" doc:"size of a request's header, in bytes"`
	MaxTimeout       time.Duration `validate:"min=10ms,max=1h" doc:"longest time that a caller may ask for"`
	HeaderTimeout    time.Duration `validate:"min=100ms,max=5m" doc:"time for a request's header to come in"`
	BodyTimeout      time.Duration `validate:"min=100ms,max=30m" doc:"time for a whole request to come in"`
	IdleTimeout      time.Duration `validate:"min=1s,max=1h" doc:"time that a connection may be idle"`
	PerCallerAddress int           `validate:"min=1,max=100000" doc:"open requests of one caller address"`
	ShutdownTimeout  time.Duration `validate:"min=100ms,max=10m" doc:"time that a shutdown waits for calls in flight"`
	ShutdownPause    time.Duration `validate:"min=0s,max=5m" doc:"time for the balancer and callers to turn away before a shutdown closes idle connections"`
}

// Keyed is how calls with an Idempotency-Key are treated.
type Keyed struct {
	MaxAnswerBytes int           `validate:"min=0,max=65536" doc:"largest answer kept for a repeated call, in bytes"`
	ClaimTimeout   time.Duration `validate:"min=10ms,max=60s" doc:"time to claim a key on the log before the call is refused as NotRun"`
	Outage         string        `validate:"oneof=Refuse" doc:"what becomes of a call whose key cannot be claimed while the log is down: Refuse"`
}

// DefaultEntry returns the defaults of an entry.
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

// DefaultLease returns the default periods of leases.
func DefaultLease() Lease {
	return Lease{
		Grant: 3 * time.Second, Ask: 500 * time.Millisecond,
		Margin: 500 * time.Millisecond, Poll: 250 * time.Millisecond,
	}
}
