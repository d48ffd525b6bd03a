package cfstate

import (
	"fmt"
	"net/netip"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfrecord"
)

// claimEpoch makes an entry the planner of the next epoch.
func (rc *recordContext) claimEpoch(c *cfrecord.Claim) Rejection {
	if c.Epoch != rc.state.Epoch+1 {
		return rejectedEpoch
	}
	rc.state.Epoch = c.Epoch
	rc.state.Planner = c.Entry
	rc.addEvent("planner", string(c.Entry), fmt.Sprintf("epoch %d", c.Epoch))
	return notRejected
}

func (rc *recordContext) addCandidate(c *cfrecord.Candidate) Rejection {
	if rc.state.IsMember(c.Member.Entry) || indexMember(rc.state.Candidates, c.Member.Entry) >= 0 {
		return rejectedNoChange
	}
	rc.state.Candidates = append(rc.state.Candidates, c.Member)
	return notRejected
}

// removeCandidate removes an entry from the candidates. Members are removed only by a Members
// record or a plan.
func (rc *recordContext) removeCandidate(g *cfrecord.CandidateGone) Rejection {
	i := indexMember(rc.state.Candidates, g.Entry)
	if i < 0 {
		return rejectedNoChange
	}
	rc.state.Candidates = removeMember(rc.state.Candidates, i)
	return notRejected
}

func (rc *recordContext) setMembers(m *cfrecord.Members) Rejection {
	if m.Version != rc.state.MemberVersion+1 || !majoritiesOverlap(rc.state.Members, m.Members) {
		return rejectedMembership
	}
	rc.state.MemberVersion = m.Version
	rc.state.Members = m.Members
	for _, e := range m.Members {
		if i := indexMember(rc.state.Candidates, e.Entry); i >= 0 {
			rc.state.Candidates = removeMember(rc.state.Candidates, i)
		}
	}
	rc.addEvent("membership", fmt.Sprintf("version %d", m.Version), fmt.Sprintf("%d entries", len(m.Members)))
	return notRejected
}

// majoritiesOverlap reports whether membership b differs from a by one entry: b has one
// member more, one member fewer, or a new incarnation of one member at the same address.
// Then any majority of a and any majority of b have the address of a member in common.
// majoritiesOverlap returns false if a or b lists an entry twice.
func majoritiesOverlap(a, b []cfrecord.Member) bool {
	if !areDistinct(a) || !areDistinct(b) {
		return false
	}
	kept := 0
	for _, m := range a {
		if indexMember(b, m.Entry) >= 0 {
			kept++
		}
	}
	switch len(b) - len(a) {
	case 1:
		return kept == len(a)
	case -1:
		return kept == len(b)
	case 0:
		return kept == len(a)-1 && haveSameAddresses(a, b)
	}
	return false
}

// haveSameAddresses reports whether every address in b is also in a. Both lists must have
// the same length.
func haveSameAddresses(a, b []cfrecord.Member) bool {
	peers := map[netip.AddrPort]bool{}
	for _, m := range a {
		peers[m.Peer] = true
	}
	for _, m := range b {
		if !peers[m.Peer] {
			return false
		}
	}
	return true
}

// areDistinct reports whether no entry is in list twice.
func areDistinct(list []cfrecord.Member) bool {
	seen := map[cfcore.EntryID]bool{}
	for _, m := range list {
		if seen[m.Entry] {
			return false
		}
		seen[m.Entry] = true
	}
	return true
}

func indexMember(list []cfrecord.Member, id cfcore.EntryID) int {
	for i, m := range list {
		if m.Entry == id {
			return i
		}
	}
	return -1
}

// removeMember returns a copy of list without the element at index i. It leaves list
// unchanged, because list can be part of a record.
func removeMember(list []cfrecord.Member, i int) []cfrecord.Member {
	out := make([]cfrecord.Member, 0, len(list)-1)
	out = append(out, list[:i]...)
	return append(out, list[i+1:]...)
}
