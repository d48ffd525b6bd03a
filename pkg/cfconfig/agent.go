package cfconfig

import (
	"net/netip"
	"time"
)

// Agent holds the settings of an agent.
type Agent struct {
	Worker     string `validate:"cfname" doc:"name of the worker; unique in the installation"`
	DataCentre string `validate:"cfname" doc:"data centre that the VM is in"`
	Rack       string `validate:"cfname" doc:"rack that the VM is in"`

	VM      netip.AddrPort   `validate:"addr" doc:"address of the platform's worker on this VM"`
	Local   netip.AddrPort   `validate:"addr" doc:"address at which targets on this VM announce themselves"`
	Entries []netip.AddrPort `validate:"min=1" doc:"Inner addresses of entries to connect to"`
	Source  netip.Addr       `doc:"local IP address to connect from; empty: the system chooses"`
	KeyFile string           `doc:"file with the key that all processes share; empty: the key is read from the environment variable CRANBERRYFORD_KEY"`

	Lease Lease `doc:"periods that the safety of leases depends on; must be the same in all processes"`

	VMPoll            time.Duration `validate:"min=20ms,max=10s" doc:"interval between two requests for the worker's state"`
	VMTimeout         time.Duration `validate:"min=50ms,max=1m" doc:"timeout of one request to the worker"`
	CheckpointEvery   time.Duration `validate:"min=0s,max=1h" doc:"interval between two reports of new checkpoints; if the VM fails, work since the last report is lost"`
	TargetTTL         time.Duration `validate:"min=200ms,max=10m" doc:"time after a target's last announcement until the target is removed"`
	TrafficConns      int           `validate:"min=1,max=16" doc:"number of connections to each entry for calls"`
	Suspect           time.Duration `validate:"min=100ms,max=30s" doc:"time without received messages after which a connection is closed"`
	Beat              time.Duration `validate:"min=20ms,max=10s" doc:"interval of heartbeats on a connection without other messages; at most a third of Suspect"`
	MaxBodyBytes      int64         `validate:"min=1024,max=16777216" doc:"maximum size of a response body, in bytes"`
	SlotHold          time.Duration `validate:"min=1s,max=1h" doc:"maximum time that an unanswered call occupies a slot of its target"`
	RememberedBytes   int           `validate:"min=0,max=67108864" doc:"maximum total size of responses kept for resent calls, in bytes"`
	RememberedFor     time.Duration `validate:"min=1s,max=1h" doc:"how long finished calls are remembered to detect resent ones"`
	ShutdownTimeout   time.Duration `validate:"min=100ms,max=10m" doc:"maximum time that a shutdown waits for calls and tasks"`
	MaxTargets        int           `validate:"min=1,max=1000" doc:"maximum number of targets on this VM"`
	MaxSlots          int           `validate:"min=1,max=10000" doc:"maximum number of slots that a target may announce"`
	MaxConnections    int           `validate:"min=1,max=10000" doc:"maximum number of connections that a target may announce"`
	ReconnectInterval time.Duration `validate:"min=10ms,max=1m" doc:"interval between attempts to connect to an entry"`

	LogLevel string `validate:"oneof=debug info warn error" doc:"minimum level of log lines: debug, info, warn or error"`
}

// DefaultAgent returns the default settings of an agent.
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
