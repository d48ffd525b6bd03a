package cfconfig

import (
	"net/netip"
	"time"
)

// Agent is the settings of an agent.
type Agent struct {
	Worker     string `validate:"cfname" doc:"name of the worker; unique in the installation"`
	DataCentre string `validate:"cfname" doc:"data centre that the VM is in"`
	Rack       string `validate:"cfname" doc:"rack that the VM is in"`

	VM      netip.AddrPort   `validate:"addr" doc:"the platform's worker on this VM"`
	Local   netip.AddrPort   `validate:"addr" doc:"where targets on this VM announce themselves"`
	Entries []netip.AddrPort `validate:"min=1" doc:"Inner addresses of entries"`
	Source  netip.Addr       `doc:"own IP number that connections are opened from; empty: the system chooses"`
	KeyFile string           `doc:"file with the key that all processes share; empty: taken from the environment variable CRANBERRYFORD_KEY"`

	Lease Lease `doc:"periods that the safety of leases rests on; the same in all processes"`

	VMPoll            time.Duration `validate:"min=20ms,max=10s" doc:"how often the worker is asked for its state"`
	VMTimeout         time.Duration `validate:"min=50ms,max=1m" doc:"time for one answer of the worker"`
	CheckpointEvery   time.Duration `validate:"min=0s,max=1h" doc:"time between two reports of new checkpoints; work since the last one is lost with the VM"`
	TargetTTL         time.Duration `validate:"min=200ms,max=10m" doc:"time after which a target that no longer announces itself is forgotten"`
	TrafficConns      int           `validate:"min=1,max=16" doc:"connections for calls to each entry"`
	Suspect           time.Duration `validate:"min=100ms,max=30s" doc:"silence after which a connection is closed"`
	Beat              time.Duration `validate:"min=20ms,max=10s" doc:"how often a connection is shown to be alive; at most a third of Suspect"`
	MaxBodyBytes      int64         `validate:"min=1024,max=16777216" doc:"size of an answer's body, in bytes"`
	SlotHold          time.Duration `validate:"min=1s,max=1h" doc:"time after which a call that its target does not answer no longer takes up a slot"`
	RememberedBytes   int           `validate:"min=0,max=67108864" doc:"finished answers kept for calls that are sent again, in bytes"`
	RememberedFor     time.Duration `validate:"min=1s,max=1h" doc:"time that finished calls are remembered"`
	ShutdownTimeout   time.Duration `validate:"min=100ms,max=10m" doc:"time that a shutdown waits for calls and tasks"`
	MaxTargets        int           `validate:"min=1,max=1000" doc:"targets on one VM"`
	MaxSlots          int           `validate:"min=1,max=10000" doc:"most slots that a target may announce"`
	MaxConnections    int           `validate:"min=1,max=10000" doc:"most connections that a target may announce"`
	ReconnectInterval time.Duration `validate:"min=10ms,max=1m" doc:"time between attempts to connect to an entry"`

	LogLevel string `validate:"oneof=debug info warn error" doc:"least level of log lines: debug, info, warn or error"`
}

// DefaultAgent returns the defaults of an agent.
func DefaultAgent() Agent {
	return Agent{
		Lease:  DefaultLease(),
		VMPoll: 200 * time.Millisecond, VMTimeout: time.Second, CheckpointEvery: 10 * time.Second, TargetTTL: 3 * time.Second,
		TrafficConns: 2, Suspect: 800 * time.Millisecond, Beat: 200 * time.Millisecond,
		MaxBodyBytes: 8 << 20, SlotHold: time.Minute, RememberedBytes: 4 << 20, RememberedFor: 2 * time.Minute,
		ShutdownTimeout: 30 * time.Second, MaxTargets: 64, MaxSlots: 1024, MaxConnections: 4096,
		ReconnectInterval: 200 * time.Millisecond, LogLevel: "info",
	}
}
