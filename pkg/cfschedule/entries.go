package cfschedule

import (
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfrecord"
)

// updateMembers adds, removes or replaces one member, and drops unreachable candidates. The
// members change only after a majority has applied the current membership. This wait is for
// safety: an entry grants leases only if a majority confirms, and after the wait any such
// majority has a member in common with every majority of the next membership.
func (d *decision) updateMembers() {
	if len(d.state.Members) == 0 {
		d.bootstrap()
		return
	}
	d.dropLostCandidates()
	if !d.membershipApplied() {
		return
	}
	if list, ok := d.membersWithSuccessor(); ok {
		d.proposeMembers(list)
		return
	}
	if id, ok := d.lostMember(); ok {
		d.proposeMembers(without(d.state.Members, id))
		return
	}
	for _, c := range d.state.Candidates {
		if d.responsive(c.Entry) {
			d.proposeMembers(append(append([]cfrecord.Member{}, d.state.Members...), c))
			return
		}
	}
}

// dropLostCandidates drops the candidates that have not answered for EntryTimeout. If a
// dropped candidate still runs, it submits its candidacy again.
func (d *decision) dropLostCandidates() {
	for _, c := range d.state.Candidates {
		if c.Entry != d.in.Self && d.sinceLastAnswer(c.Entry) >= d.settings.EntryTimeout {
			d.addRecord(cfrecord.Record{Gone: &cfrecord.CandidateGone{Entry: c.Entry}})
		}
	}
}

// membershipApplied reports whether a majority of the members has applied the current
// membership. A member with a successor, a candidate at the same address, counts as if the
// member had applied the membership. Such a member no longer runs and grants no more leases.
func (d *decision) membershipApplied() bool {
	n := 0
	for _, m := range d.state.Members {
		_, replaced := d.successor(m)
		if replaced || d.in.Entries.HasVersion(d.grantView(), m.Entry, d.state.MemberVersion) {
			n++
		}
	}
	return n >= d.state.MajoritySize()
}

// successor returns the responsive candidate that has the same address as a member, and
// false if there is none. The platform assigns an address to one VM at a time. A member
// with a successor therefore no longer runs.
func (d *decision) successor(m cfrecord.Member) (cfrecord.Member, bool) {
	for _, c := range d.state.Candidates {
		if c.Peer == m.Peer && d.responsive(c.Entry) {
			return c, true
		}
	}
	return cfrecord.Member{}, false
}

// membersWithSuccessor returns the members with one of them replaced by its successor, and
// false if no member has a successor.
func (d *decision) membersWithSuccessor() ([]cfrecord.Member, bool) {
	for i, m := range d.state.Members {
		c, ok := d.successor(m)
		if !ok {
			continue
		}
		list := append([]cfrecord.Member{}, d.state.Members...)
		list[i] = c
		return list, true
	}
	return nil, false
}

// bootstrap proposes the first membership, which contains only the planner.
func (d *decision) bootstrap() {
	for _, c := range d.state.Candidates {
		if c.Entry == d.in.Self {
			d.proposeMembers([]cfrecord.Member{c})
		}
	}
}

// proposeMembers adds a record that makes list the next membership.
func (d *decision) proposeMembers(list []cfrecord.Member) {
	d.addRecord(cfrecord.Record{Members: &cfrecord.Members{
		Epoch: d.state.Epoch, Version: d.state.MemberVersion + 1, Members: list,
	}})
}

// responsive reports whether an entry has answered a poll that was sent within the last
// grant period. The planner itself is always responsive.
func (d *decision) responsive(id cfcore.EntryID) bool {
	if id == d.in.Self {
		return true
	}
	at := d.in.Entries.LastAnsweredPollSentAt(id)
	return !at.IsZero() && d.in.Now.Sub(at) < d.settings.Timing.Grant
}

// lostMember returns a member, other than the planner, that has not answered for
// EntryTimeout. It returns false if there is none.
func (d *decision) lostMember() (cfcore.EntryID, bool) {
	for _, m := range d.state.Members {
		if m.Entry == d.in.Self {
			continue
		}
		if d.sinceLastAnswer(m.Entry) >= d.settings.EntryTimeout {
			return m.Entry, true
		}
	}
	return "", false
}

// sinceLastAnswer returns the shorter of two times: the time since the sending of the
// newest poll that the entry has answered, and the time since this planner first saw the
// entry.
func (d *decision) sinceLastAnswer(id cfcore.EntryID) time.Duration {
	at := d.in.Entries.LastAnsweredPollSentAt(id)
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

// without returns a copy of list that leaves out the entry id.
func without(list []cfrecord.Member, id cfcore.EntryID) []cfrecord.Member {
	out := make([]cfrecord.Member, 0, len(list))
	for _, m := range list {
		if m.Entry != id {
			out = append(out, m)
		}
	}
	return out
}
