package cfschedule

import (
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfrecord"
)

// entries changes the membership by one entry at a time, and only when a majority
// has folded the membership before: then any majority that an entry may still
// rest on meets any majority of the next one.
func (d *decision) entries() {
	if len(d.s.Members) == 0 {
		d.bootstrap()
		return
	}
	d.lostCandidates()
	if !d.consent() {
		return
	}
	if list, ok := d.replaced(); ok {
		d.propose(list)
		return
	}
	if id, ok := d.lostMember(); ok {
		d.propose(without(d.s.Members, id))
		return
	}
	for _, c := range d.s.Candidates {
		if d.answers(c.Entry) {
			d.propose(append(append([]cfrecord.Member{}, d.s.Members...), c))
			return
		}
	}
}

// lostCandidates takes out the candidates that have been silent for long. One that
// lives asks again.
func (d *decision) lostCandidates() {
	for _, c := range d.s.Candidates {
		if c.Entry != d.in.Self && d.silentFor(c.Entry) >= d.settings.EntrySilence {
			d.add(cfrecord.Record{Gone: &cfrecord.Gone{Entry: c.Entry}})
		}
	}
}

// consent reports whether a majority of the members has folded the membership. A
// member whose address another run has taken over grants nothing any more, and
// so stands in nobody's way.
func (d *decision) consent() bool {
	n := 0
	for _, m := range d.s.Members {
		_, gone := d.successor(m)
		if gone || d.in.Entries.AtVersion(d.view(), m.Entry, d.s.MemberVersion) {
			n++
		}
	}
	return n >= d.s.Majority()
}

// successor returns a candidate that answers at a member's address: the platform
// gives an address to one VM at a time, so the member's run is over.
func (d *decision) successor(m cfrecord.Member) (cfrecord.Member, bool) {
	for _, c := range d.s.Candidates {
		if c.Peer == m.Peer && d.answers(c.Entry) {
			return c, true
		}
	}
	return cfrecord.Member{}, false
}

// replaced returns the membership with one run of an entry in place of the one before.
func (d *decision) replaced() ([]cfrecord.Member, bool) {
	for i, m := range d.s.Members {
		c, ok := d.successor(m)
		if !ok {
			continue
		}
		list := append([]cfrecord.Member{}, d.s.Members...)
		list[i] = c
		return list, true
	}
	return nil, false
}

// bootstrap begins the membership with the planner alone.
func (d *decision) bootstrap() {
	for _, c := range d.s.Candidates {
		if c.Entry == d.in.Self {
			d.propose([]cfrecord.Member{c})
		}
	}
}

func (d *decision) propose(list []cfrecord.Member) {
	d.add(cfrecord.Record{Members: &cfrecord.Members{
		Epoch: d.s.Epoch, Version: d.s.MemberVersion + 1, Members: list,
	}})
}

// answers reports whether another entry was heard of lately.
func (d *decision) answers(id cfcore.EntryID) bool {
	if id == d.in.Self {
		return true
	}
	at := d.in.Entries.LastSent(id)
	return !at.IsZero() && d.in.Now.Sub(at) < d.settings.Timing.Grant
}

// lostMember returns a member that has been silent for long.
func (d *decision) lostMember() (cfcore.EntryID, bool) {
	for _, m := range d.s.Members {
		if m.Entry == d.in.Self {
			continue
		}
		if d.silentFor(m.Entry) >= d.settings.EntrySilence {
			return m.Entry, true
		}
	}
	return "", false
}

// silentFor counts from when this planner first cared, where it never heard the
// entry itself.
func (d *decision) silentFor(id cfcore.EntryID) time.Duration {
	at := d.in.Entries.LastSent(id)
	first, ok := d.memberSeen[id]
	if !ok {
		first = d.in.Now
		d.memberSeen[id] = first
	}
	if at.Before(first) {
		at = first
	}
	return d.in.Now.Sub(at)
}

func without(list []cfrecord.Member, id cfcore.EntryID) []cfrecord.Member {
	out := make([]cfrecord.Member, 0, len(list))
	for _, m := range list {
		if m.Entry != id {
			out = append(out, m)
		}
	}
	return out
}
