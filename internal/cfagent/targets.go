package cfagent

import (
	"cmp"
	"encoding/json"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"cranberryford/pkg/cfadmit"
	"cranberryford/pkg/cfcommon"
	"cranberryford/pkg/cfconfig"
	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cferror"
	"cranberryford/pkg/cfintent"
)

// targetSet holds the targets that have announced themselves on this VM.
type targetSet struct {
	*cfcommon.Common
	cfg     cfconfig.Agent
	mu      sync.RWMutex
	targets map[targetKey]*localTarget
	// leaving is set once the agent is shutting down.
	leaving bool
	// draining is the set of services whose targets take no new calls.
	draining map[string]bool
}

// targetKey identifies a target on this VM.
type targetKey struct {
	service string
	address netip.AddrPort
}

func keyOf(t cfcore.Target) targetKey { return targetKey{t.Service, t.Address} }

// localTarget is a target and its admission gate.
type localTarget struct {
	target      cfcore.Target
	gate        *cfadmit.Gate
	announcedAt time.Time
}

func newTargetSet(common *cfcommon.Common, cfg cfconfig.Agent) *targetSet {
	return &targetSet{Common: common, cfg: cfg, targets: map[targetKey]*localTarget{}}
}

// put adds or updates an announced target and reports whether the set has changed. A
// leaving target is not added.
func (s *targetSet) put(t cfcore.Target) (bool, error) {
	if err := s.checkAnnouncement(t); err != nil {
		return false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	local := s.targets[keyOf(t)]
	switch {
	case local == nil && t.Leaving:
		return false, nil
	case local == nil && len(s.targets) >= s.cfg.MaxTargets:
		return false, cferror.New("announce", KindAnnouncement, "there are %d targets on this VM already", len(s.targets))
	case local == nil:
		local = &localTarget{gate: cfadmit.NewGate(t.Slots, t.Connections, s.Clock)}
		s.targets[keyOf(t)] = local
	}
	changed := local.target != t
	local.target = t
	local.announcedAt = s.Clock.Now()
	local.gate.Resize(t.Slots, t.Connections)
	local.gate.SetDraining(s.isClosed(&local.target))
	return changed, nil
}

// checkAnnouncement returns an error if an announced target is not valid.
func (s *targetSet) checkAnnouncement(t cfcore.Target) error {
	switch {
	case !cfintent.ValidName(t.Service):
		return cferror.New("announce", KindAnnouncement, "Service: %q is not a name", t.Service)
	case !t.Address.IsValid() || t.Address.Port() == 0:
		return cferror.New("announce", KindAnnouncement, "Address: must be an IP number and a port")
	case t.Slots < 1 || t.Slots > s.cfg.MaxSlots:
		return cferror.New("announce", KindAnnouncement, "Slots: %d must be 1 to %d", t.Slots, s.cfg.MaxSlots)
	case t.Connections < t.Slots || t.Connections > s.cfg.MaxConnections:
		return cferror.New("announce", KindAnnouncement, "Connections: %d must be Slots to %d", t.Connections, s.cfg.MaxConnections)
	}
	return nil
}

// gate returns the gate of a target, or nil if the target is not known.
func (s *targetSet) gate(service string, address netip.AddrPort) *cfadmit.Gate {
	s.mu.RLock()
	defer s.mu.RUnlock()
	t := s.targets[targetKey{service, address}]
	if t == nil {
		return nil
	}
	return t.gate
}

// list returns the targets sorted by service and address.
func (s *targetSet) list() []cfcore.Target {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make([]cfcore.Target, 0, len(s.targets))
	for _, t := range s.targets {
		target := t.target
		target.Leaving = s.isClosed(&target)
		out = append(out, target)
	}
	slices.SortFunc(out, func(a, b cfcore.Target) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), a.Address.Compare(b.Address))
	})
	return out
}

// expire removes targets that have not announced themselves for TargetTTL. Their gates
// refuse new calls from then on.
func (s *targetSet) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, t := range s.targets {
		if s.Clock.Since(t.announcedAt) > s.cfg.TargetTTL {
			t.gate.SetDraining(true)
			delete(s.targets, key)
			s.Log.Info().Str("Service", key.service).Stringer("Address", key.address).Msg("target announcement expired; target removed")
		}
	}
}

// drainAll makes all targets refuse new calls.
func (s *targetSet) drainAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	for _, t := range s.targets {
		t.gate.SetDraining(true)
	}
}

// isClosed reports whether a target takes no new calls. The lock mu must be held.
func (s *targetSet) isClosed(t *cfcore.Target) bool {
	return t.Leaving || s.leaving || s.draining[t.Service]
}

// drain makes the targets of the given services refuse new calls, and reopens the targets
// of all other services. It reopens no target that is leaving, and none while the agent
// is shutting down. It reports whether the set of services has changed.
func (s *targetSet) drain(services map[string]bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if maps.Equal(s.draining, services) {
		return false
	}
	s.draining = services
	for _, t := range s.targets {
		t.gate.SetDraining(s.isClosed(&t.target))
	}
	return true
}

// openCallsOf returns the number of calls in flight to a service's targets or waiting
// for them.
func (s *targetSet) openCallsOf(service string) int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	n := 0
	for key, t := range s.targets {
		if key.service == service {
			n += t.gate.InFlight()
		}
	}
	return n
}

// openCalls returns the number of calls in flight to all targets or waiting for them.
func (s *targetSet) openCalls() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	n := 0
	for _, t := range s.targets {
		n += t.gate.InFlight()
	}
	return n
}

// maxAnnouncementBytes limits the body of an announcement.
const maxAnnouncementBytes = 64 << 10

// localHandler returns the HTTP interface for the targets on this VM.
func (a *Agent) localHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /targets", a.handleAnnouncement)
	mux.Handle("GET /metrics", a.metrics)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	return mux
}

// handleAnnouncement handles the announcement of a target.
func (a *Agent) handleAnnouncement(w http.ResponseWriter, r *http.Request) {
	var t cfcore.Target
	body := http.MaxBytesReader(w, r.Body, maxAnnouncementBytes)
	if err := json.NewDecoder(body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	changed, err := a.targets.put(t)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if changed {
		a.Log.Info().Str("Service", t.Service).Stringer("Address", t.Address).Bool("Leaving", t.Leaving).Msg("target announced")
		a.enqueue(r.Context(), targetsChanged{})
	}
	w.WriteHeader(http.StatusOK)
}
