package cfjobentry

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cferror"
	"cranberryford/pkg/cfwire"
)

const (
	// relayTimeout bounds an append through other entries. An append takes 10 ms, or 250 ms
	// when the store is slow. By default, callers wait for 3 s. A queued record needs the
	// longest time if the whole store is unresponsive when the batch in front of the record
	// is appended. With the default settings, the direct append of that batch times out
	// after 1 s. Relaying that batch takes up to relayTimeout. Relaying the queued record
	// then also takes up to relayTimeout. The sum is 2 s. It is higher if the other entries
	// reject the batch, since a second direct append of the batch then follows.
	relayTimeout = 500 * time.Millisecond
	// relayConnTime is how long a connection opened for relaying stays open. Outages of
	// the store last seconds.
	relayConnTime = 30 * time.Second
	// relayRetryDelay is the delay after a failed dial and between two attempts to relay
	// records. relayTimeout allows several attempts.
	relayRetryDelay = 50 * time.Millisecond
	// maxPeerAddrs bounds the number of addresses in peerAddrs and in discoveredAddrs.
	maxPeerAddrs = 64
	// maxRelayedAppends bounds the number of concurrent appends that an entry makes for
	// others.
	maxRelayedAppends = 16
)

// relay appends callers' records through other entries if the store rejects the calls of
// this entry or does not answer them. Adding a record twice has no further effect.
type relay struct {
	*Entry
	mu sync.Mutex
	// conns are the connections to other entries, whichever side has opened them. The
	// planner has those that the other entries open to it. Any other entry has the one that
	// it opens to the planner. An entry without any connection opens one for relaying.
	conns map[*cfwire.Conn]bool
	// connAdded is closed and replaced when a connection is added.
	connAdded chan struct{}
	// seq is the number of the last append request. pendingAnswers holds the channel for
	// the answer to each append request, by its number.
	seq            uint64
	pendingAnswers map[uint64]chan cfcore.StoreKind
	// slots holds one value for each append in flight for another entry.
	slots chan struct{}
	// recordedAddrs are the other entries' addresses according to the store. peerAddrs are
	// the addresses that connecting entries gave, by entry name. discoveredAddrs are the
	// addresses sent by an entry that this one connected to. An entry that cannot reach the
	// store when it starts has read no records, so it has only peerAddrs and
	// discoveredAddrs.
	recordedAddrs   atomic.Pointer[[]netip.AddrPort]
	peerAddrs       map[string]netip.AddrPort
	discoveredAddrs []netip.AddrPort
	// connWanted receives a value to request a connection to an entry.
	connWanted chan struct{}
}

func newRelay(e *Entry) *relay {
	return &relay{
		Entry: e, conns: map[*cfwire.Conn]bool{}, pendingAnswers: map[uint64]chan cfcore.StoreKind{}, peerAddrs: map[string]netip.AddrPort{},
		slots: make(chan struct{}, maxRelayedAppends), connAdded: make(chan struct{}), connWanted: make(chan struct{}, 1),
	}
}

// addConn adds a connection to another entry. The returned function removes it.
func (r *relay) addConn(conn *cfwire.Conn) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[conn] = true
	close(r.connAdded)
	r.connAdded = make(chan struct{})
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.conns, conn)
	}
}

// append asks other entries, one after the other, to add records to the store. If the
// outcome of an attempt is unknown, append retries until relayTimeout has passed. An
// outcome is unknown, for example, if the planner changes during the attempt: all
// connections then end, and new ones follow. After a StoreRejected error none of the
// entries has added the records or will add them later.
func (r *relay) append(ctx context.Context, records []cfcore.KeyedRecord) error {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	failure := cfcore.StoreRejected
	for {
		f := r.appendOnce(ctx, records)
		if f == "" {
			return nil
		}
		if f != cfcore.StoreRejected {
			failure = f
		}
		if failure == cfcore.StoreRejected || ctx.Err() != nil {
			return cferror.New("append through another entry", failure, "no entry has confirmed %d records", len(records))
		}
		select {
		case <-ctx.Done():
		case <-r.Clock.After(relayRetryDelay):
		}
	}
}

// appendOnce tries the connected entries, one after the other, until one adds the
// records. It then returns an empty kind. If none adds them, it returns the kind of
// failure.
func (r *relay) appendOnce(ctx context.Context, records []cfcore.KeyedRecord) cfcore.StoreKind {
	failure := cfcore.StoreRejected
	for _, conn := range r.waitConns(ctx) {
		f := r.appendThrough(ctx, conn, records)
		if f == "" {
			r.Log.Info().Str("Entry", conn.Peer().Name).Int("Records", len(records)).Msg("records added through another entry")
			r.Scope.Counter("records_relayed").Inc(int64(len(records)))
			return ""
		}
		if f != cfcore.StoreRejected {
			failure = f
		}
	}
	return failure
}

// requestConn requests a connection to another entry if there is none.
func (r *relay) requestConn() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.conns) > 0 {
		return
	}
	select {
	case r.connWanted <- struct{}{}:
	default:
	}
}

// waitConns returns the connections to other entries. If there are none, it requests one
// and waits until it is added. It returns nil if the context ends first.
func (r *relay) waitConns(ctx context.Context) []*cfwire.Conn {
	for {
		r.mu.Lock()
		conns, connAdded := slices.Collect(maps.Keys(r.conns)), r.connAdded
		r.mu.Unlock()
		if len(conns) > 0 {
			return conns
		}
		r.requestConn()
		select {
		case <-connAdded:
		case <-ctx.Done():
			return nil
		}
	}
}

// recordPeerAddr records the first of addrs as the address of the entry that has connected
// under the given name. It does nothing if addrs is empty, or if peerAddrs already holds
// maxPeerAddrs addresses.
func (r *relay) recordPeerAddr(name string, addrs []netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(addrs) > 0 && len(r.peerAddrs) < maxPeerAddrs {
		r.peerAddrs[name] = addrs[0]
	}
}

// recordDiscoveredAddrs records the addresses of entries that another entry sent.
func (r *relay) recordDiscoveredAddrs(addrs []netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(addrs) > 0 {
		r.discoveredAddrs = addrs[:min(len(addrs), maxPeerAddrs)]
	}
}

// addresses returns the possible addresses of other entries.
func (r *relay) addresses() []netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	addrs := slices.AppendSeq(slices.Clone(r.discoveredAddrs), maps.Values(r.peerAddrs))
	if recorded := r.recordedAddrs.Load(); recorded != nil {
		addrs = append(addrs, *recorded...)
	}
	slices.SortFunc(addrs, netip.AddrPort.Compare)
	addrs = slices.Compact(addrs)
	return slices.DeleteFunc(addrs, func(a netip.AddrPort) bool { return a == r.cfg.Inner })
}

// run opens a connection to another entry on request. A former planner that cannot reach
// the store needs such a connection: the other entries close their connections to the
// former planner when they follow the new one. The former planner cannot read the new
// planner's claim, so it does not know to which entry it must connect.
func (r *relay) run(ctx context.Context) error {
	next := 0
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.connWanted:
		}
		addrs := r.addresses()
		if len(addrs) == 0 {
			continue
		}
		next++
		addr := addrs[next%len(addrs)]
		conn, closeConn, err := cfwire.Dial(ctx, addr, r.wireOptions(cfwire.RolePeer))
		if err != nil {
			r.Log.Warn().Err(err).Str("Entry", addr.String()).Msg("connection to another entry failed")
			select {
			case <-ctx.Done():
			case <-r.Clock.After(relayRetryDelay):
			}
			continue
		}
		connCtx, cancel := context.WithTimeout(ctx, relayConnTime)
		r.watchConn(connCtx, conn, 0)
		cancel()
		closeConn()
	}
}

// sendStoredRecords sends records that are in the store to all connected entries, of which
// one is normally the planner. The planner can then act on the records before it reads
// them, and also while the store rejects its reads. On the planner itself,
// sendStoredRecords does nothing.
func (r *relay) sendStoredRecords(records []cfcore.KeyedRecord) {
	if r.isPlanner.Load() {
		return
	}
	r.mu.Lock()
	conns := slices.Collect(maps.Keys(r.conns))
	r.mu.Unlock()
	for _, conn := range conns {
		if err := conn.Send(&cfwire.Message{JobRecords: &cfwire.JobRecords{Records: records}}); err != nil {
			r.Log.Debug().Err(err).Str("Entry", conn.Peer().Name).Msg("stored records not sent to another entry")
		}
	}
}

// appendThrough requests an append from one entry. It returns an empty kind if that entry
// has added the records, and otherwise the kind of failure.
func (r *relay) appendThrough(ctx context.Context, conn *cfwire.Conn, records []cfcore.KeyedRecord) cfcore.StoreKind {
	answer := make(chan cfcore.StoreKind, 1)
	r.mu.Lock()
	r.seq++
	seq := r.seq
	r.pendingAnswers[seq] = answer
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.pendingAnswers, seq)
	}()
	if err := conn.Send(&cfwire.Message{JobAppend: &cfwire.JobAppend{Seq: seq, Records: records}}); err != nil {
		r.Log.Debug().Err(err).Str("Entry", conn.Peer().Name).Msg("records not sent to another entry")
		return cfcore.StoreRejected
	}
	select {
	case f := <-answer:
		return f
	case <-conn.Done():
	case <-ctx.Done():
	}
	return cfcore.StoreOutcomeUnknown
}

// handleAppendAnswer passes another entry's answer to the waiting append.
func (r *relay) handleAppendAnswer(a *cfwire.JobAppendAnswer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if answer := r.pendingAnswers[a.Seq]; answer != nil {
		answer <- a.Failure
		delete(r.pendingAnswers, a.Seq)
	}
}

// handleAppendRequest appends records for another entry and sends that entry the outcome.
// It does not relay the records to a third entry. If maxRelayedAppends are in flight, it
// rejects the request.
func (r *relay) handleAppendRequest(ctx context.Context, conn *cfwire.Conn, m *cfwire.JobAppend) {
	select {
	case r.slots <- struct{}{}:
	default:
		r.sendAppendAnswer(conn, m.Seq, cfcore.StoreRejected)
		return
	}
	go func() {
		defer func() { <-r.slots }()
		r.sendAppendAnswer(conn, m.Seq, r.serveAppend(ctx, m.Records))
	}()
}

// serveAppend makes a direct append. It returns the kind of failure, or an empty kind if
// the records were added.
func (r *relay) serveAppend(ctx context.Context, records []cfcore.KeyedRecord) cfcore.StoreKind {
	if r.storeDown.Load() {
		return cfcore.StoreRejected
	}
	err := r.submissions.appendOnce(ctx, records)
	switch {
	case err == nil:
		return ""
	case cferror.Is(err, cfcore.StoreRejected):
		return cfcore.StoreRejected
	}
	return cfcore.StoreOutcomeUnknown
}

// sendAppendAnswer sends another entry the outcome of the append that it requested under
// the number seq. failure is the kind of failure, or empty if the records were added.
func (r *relay) sendAppendAnswer(conn *cfwire.Conn, seq uint64, failure cfcore.StoreKind) {
	if err := conn.Send(&cfwire.Message{JobAppendAnswer: &cfwire.JobAppendAnswer{Seq: seq, Failure: failure}}); err != nil {
		r.Log.Debug().Err(err).Msg("outcome of an append not sent to the entry that requested it")
	}
}

// waitForRelayedAppends blocks until no append for another entry is in flight. The context
// of these appends must have ended. waitForRelayedAppends occupies all slots, so the relay
// rejects all later requests for an append.
func (r *relay) waitForRelayedAppends() {
	for range maxRelayedAppends {
		r.slots <- struct{}{}
	}
}
