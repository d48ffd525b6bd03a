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
	// relayTimeout bounds the wait for another entry's answer. Callers wait for 3 s; where
	// the whole store is silent, the first try takes 1 s of that, and records that waited
	// behind it are handed on once more. An append takes 10 ms, and 250 ms while the store
	// is slow.
	relayTimeout = 500 * time.Millisecond
	// relayKeep is how long a connection is kept that was opened for records; outages of
	// the store last seconds.
	relayKeep = 30 * time.Second
	// relayPause is the pause after a connection that could not be opened, or that ended
	// while records were handed on. relayTimeout leaves time for several.
	relayPause = 50 * time.Millisecond
	// maxTold bounds the addresses that are kept of entries that have connected.
	maxTold = 64
	// relaySlots bounds the appends that an entry makes for others at the same time.
	relaySlots = 16
)

// relay hands callers' records to other entries, where the store turns this one away
// and answers them. A record that is added twice changes nothing.
type relay struct {
	*Entry
	mu sync.Mutex
	// conns are the connections to other entries: to the planner, at the planner those
	// of all others, and one that was opened for records where there is no such.
	conns map[*cfwire.Conn]bool
	// joined is closed when another connection is there.
	joined  chan struct{}
	seq     uint64
	waiting map[uint64]chan cfcore.StoreKind
	// slots holds a value for each append that is under way for another entry.
	slots chan struct{}
	// recorded are the addresses of the other entries on record, told those that entries
	// gave when they connected, by name, and named those that an entry knew when this one
	// connected to it. An entry that is cut from the store as it starts has read no records
	// of others.
	recorded atomic.Pointer[[]netip.AddrPort]
	told     map[string]netip.AddrPort
	named    []netip.AddrPort
	// wanted asks for a connection to an entry.
	wanted chan struct{}
}

func newRelay(e *Entry) *relay {
	return &relay{
		Entry: e, conns: map[*cfwire.Conn]bool{}, waiting: map[uint64]chan cfcore.StoreKind{}, told: map[string]netip.AddrPort{},
		slots: make(chan struct{}, relaySlots), joined: make(chan struct{}), wanted: make(chan struct{}, 1),
	}
}

// join adds a connection to another entry. The function takes it out.
func (r *relay) join(conn *cfwire.Conn) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[conn] = true
	close(r.joined)
	r.joined = make(chan struct{})
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.conns, conn)
	}
}

// append adds records through other entries, one after the other. Where a connection ends
// meanwhile, as all do when the planner changes, it goes on with those that come after. A
// StoreRejected error says that none of the entries added them or ever will.
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
			return cferror.New("append through another entry", failure, "%d records", len(records))
		}
		select {
		case <-ctx.Done():
		case <-r.Clock.After(relayPause):
		}
	}
}

// appendOnce asks each entry that is connected, and returns why none added the records;
// empty where one did.
func (r *relay) appendOnce(ctx context.Context, records []cfcore.KeyedRecord) cfcore.StoreKind {
	failure := cfcore.StoreRejected
	for _, conn := range r.connected(ctx) {
		f := r.ask(ctx, conn, records)
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

// want asks for a connection to another entry, where there is none.
func (r *relay) want() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.conns) > 0 {
		return
	}
	select {
	case r.wanted <- struct{}{}:
	default:
	}
}

// connected returns the connections to other entries. Where there is none, it waits
// for one.
func (r *relay) connected(ctx context.Context) []*cfwire.Conn {
	for {
		r.mu.Lock()
		conns, joined := slices.Collect(maps.Keys(r.conns)), r.joined
		r.mu.Unlock()
		if len(conns) > 0 {
			return conns
		}
		r.want()
		select {
		case <-joined:
		case <-ctx.Done():
			return nil
		}
	}
}

// heardFrom takes in where an entry that has connected can be reached.
func (r *relay) heardFrom(name string, addrs []netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(addrs) > 0 && len(r.told) < maxTold {
		r.told[name] = addrs[0]
	}
}

// heardOf takes in where an entry says that all entries can be reached.
func (r *relay) heardOf(addrs []netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(addrs) > 0 {
		r.named = addrs[:min(len(addrs), maxTold)]
	}
}

// addresses returns where other entries may be reached.
func (r *relay) addresses() []netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	addrs := slices.AppendSeq(slices.Clone(r.named), maps.Values(r.told))
	if recorded := r.recorded.Load(); recorded != nil {
		addrs = append(addrs, *recorded...)
	}
	slices.SortFunc(addrs, netip.AddrPort.Compare)
	addrs = slices.Compact(addrs)
	return slices.DeleteFunc(addrs, func(a netip.AddrPort) bool { return a == r.cfg.Inner })
}

// run opens a connection to another entry whenever one is wanted: an entry that was
// the planner has none once another one is.
func (r *relay) run(ctx context.Context) error {
	next := 0
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.wanted:
		}
		addrs := r.addresses()
		if len(addrs) == 0 {
			continue
		}
		next++
		addr := addrs[next%len(addrs)]
		conn, closeConn, err := cfwire.Dial(ctx, addr, r.wireOptions(cfwire.RolePeer))
		if err != nil {
			r.Log.Warn().Err(err).Str("Entry", addr.String()).Msg("no connection to another entry")
			select {
			case <-ctx.Done():
			case <-r.Clock.After(relayPause):
			}
			continue
		}
		keep, cancel := context.WithTimeout(ctx, relayKeep)
		r.watchConn(keep, conn, 0)
		cancel()
		closeConn()
	}
}

// announce tells the planner of records that are in the store, so that it can act on
// them before it reads them: it may be the one that the store turns away. The planner
// has no need to tell the others.
func (r *relay) announce(records []cfcore.KeyedRecord) {
	if r.leads.Load() {
		return
	}
	r.mu.Lock()
	conns := slices.Collect(maps.Keys(r.conns))
	r.mu.Unlock()
	for _, conn := range conns {
		if err := conn.Send(&cfwire.Message{JobRecords: &cfwire.JobRecords{Records: records}}); err != nil {
			r.Log.Debug().Err(err).Str("Entry", conn.Peer().Name).Msg("accepted records not sent to the planner")
		}
	}
}

// ask asks one entry, and returns why it did not add the records; empty where it did.
func (r *relay) ask(ctx context.Context, conn *cfwire.Conn, records []cfcore.KeyedRecord) cfcore.StoreKind {
	answer := make(chan cfcore.StoreKind, 1)
	r.mu.Lock()
	r.seq++
	seq := r.seq
	r.waiting[seq] = answer
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.waiting, seq)
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
	return cfcore.StoreUnknown
}

// answered takes in another entry's answer.
func (r *relay) answered(a *cfwire.JobAppendAnswer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if answer := r.waiting[a.Seq]; answer != nil {
		answer <- a.Failure
		delete(r.waiting, a.Seq)
	}
}

// serve adds records for another entry. It asks no third one.
func (r *relay) serve(ctx context.Context, conn *cfwire.Conn, m *cfwire.JobAppend) {
	select {
	case r.slots <- struct{}{}:
	default:
		r.reply(conn, m.Seq, cfcore.StoreRejected)
		return
	}
	go func() {
		defer func() { <-r.slots }()
		r.reply(conn, m.Seq, r.serveAppend(ctx, m.Records))
	}()
}

func (r *relay) serveAppend(ctx context.Context, records []cfcore.KeyedRecord) cfcore.StoreKind {
	if r.storeDown.Load() {
		return cfcore.StoreRejected
	}
	err := r.submits.appendOnce(ctx, records)
	switch {
	case err == nil:
		return ""
	case cferror.Is(err, cfcore.StoreRejected):
		return cfcore.StoreRejected
	}
	return cfcore.StoreUnknown
}

func (r *relay) reply(conn *cfwire.Conn, seq uint64, failure cfcore.StoreKind) {
	if err := conn.Send(&cfwire.Message{JobAppendAnswer: &cfwire.JobAppendAnswer{Seq: seq, Failure: failure}}); err != nil {
		r.Log.Debug().Err(err).Msg("answer to another entry not sent")
	}
}

// wait returns when no append for another entry is under way. Their context must have
// ended.
func (r *relay) wait() {
	for range relaySlots {
		r.slots <- struct{}{}
	}
}
