package cfschedule

import (
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfrecord"
)

// updateMembers changes the membership by one entry at a time, and only after a majority
// has applied the current membership. Any majority that an entry may still rely on then
// overlaps any majority of the next membership.
func (d *decision) updateMembers() {
	if len(d.s.Members) == 0 {
		d.bootstrap()
		return
	}
	d.dropLostCandidates()
	if !d.membershipApplied() {
		return
	}
	if list, ok := d.replaceMember(); ok {
		d.propose(list)
		return
	}
	if id, ok := d.lostMember(); ok {
		d.propose(without(d.s.Members, id))
		return
	}
	for _, c := range d.s.Candidates {
		if d.responsive(c.Entry) {
			d.propose(append(append([]cfrecord.Member{}, d.s.Members...), c))
			return
		}
	}
}

// dropLostCandidates drops the candidates that have not answered for EntryTimeout. A
// candidate that is still running submits its candidacy again.
func (d *decision) dropLostCandidates() {
	for _, c := range d.s.Candidates {
		if c.Entry != d.in.Self && d.sinceLastAnswer(c.Entry) >= d.settings.EntryTimeout {
			d.add(cfrecord.Record{Gone: &cfrecord.CandidateGone{Entry: c.Entry}})
		}
	}
}

// membershipApplied reports whether a majority of the members has applied the current
// membership. A member whose address another incarnation has taken over grants no more
// leases, and therefore counts as well.
func (d *decision) membershipApplied() bool {
	n := 0
	for _, m := range d.s.Members {
		_, replaced := d.successor(m)
		if replaced || d.in.Entries.HasVersion(d.grantView(), m.Entry, d.s.MemberVersion) {
			n++
		}
	}
	return n >= d.s.MajoritySize()
}

// successor returns the responsive candidate at a member's address, and false if there is
// none. The platform assigns an address to one VM at a time, so a member with a successor no
// longer runs.
func (d *decision) successor(m cfrecord.Member) (cfrecord.Member, bool) {
	for _, c := range d.s.Candidates {
		if c.Peer == m.Peer && d.responsive(c.Entry) {
			return c, true
		}
	}
	return cfrecord.Member{}, false
}

// replaceMember returns the membership with one member replaced by its successor. It
// reports false if no member has a successor.
func (d *decision) replaceMember() ([]cfrecord.Member, bool) {
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

// bootstrap proposes the first membership: the planner alone.
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

// responsive reports whether an entry has answered a poll that was sent within the last
// grant period. The planner itself is always responsive.
func (d *decision) responsive(id cfcore.EntryID) bool {
	if id == d.in.Self {
		return true
	}
	at := d.in.Entries.LastAnsweredSent(id)
	return !at.IsZero() && d.in.Now.Sub(at) < d.settings.Timing.Grant
}

// lostMember returns a member that has not answered for EntryTimeout. It reports false if
// there is none.
func (d *decision) lostMember() (cfcore.EntryID, bool) {
	for _, m := range d.s.Members {
		if m.Entry == d.in.Self {
			continue
		}
		if d.sinceLastAnswer(m.Entry) >= d.settings.EntryTimeout {
			return m.Entry, true
		}
	}
	return "", false
}

// sinceLastAnswer returns the time since the newest answered poll to an entry was sent, or
// since this planner first saw the entry, whichever is shorter.
func (d *decision) sinceLastAnswer(id cfcore.EntryID) time.Duration {
	at := d.in.Entries.LastAnsweredSent(id)
	first, ok := d.entryFirstSeen[id]
	if !ok {
		first = d.in.Now
		d.entryFirstSeen[id] = first
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
