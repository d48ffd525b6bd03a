package cffold

import (
	"fmt"
	"net/netip"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfrecord"
)

func (st *step) claim(c *cfrecord.Claim) Void {
	if c.Epoch != st.s.Epoch+1 {
		return voidEpoch
	}
	st.s.Epoch = c.Epoch
	st.s.Planner = c.Entry
	st.audit("planner", string(c.Entry), fmt.Sprintf("epoch %d", c.Epoch))
	return voidNone
}

func (st *step) candidate(c *cfrecord.Candidate) Void {
	if st.s.IsMember(c.Member.Entry) || indexMember(st.s.Candidates, c.Member.Entry) >= 0 {
		return voidNoChange
	}
	st.s.Candidates = append(st.s.Candidates, c.Member)
	return voidNone
}

// gone takes an entry off the candidates. A member is taken out by the next
// membership, which the planner writes.
func (st *step) gone(g *cfrecord.Gone) Void {
	i := indexMember(st.s.Candidates, g.Entry)
	if i < 0 {
		return voidNoChange
	}
	st.s.Candidates = removeMember(st.s.Candidates, i)
	return voidNone
}

func (st *step) members(m *cfrecord.Members) Void {
	if m.Version != st.s.MemberVersion+1 || !adjacent(st.s.Members, m.Members) {
		return voidMembership
	}
	st.s.MemberVersion = m.Version
	st.s.Members = m.Members
	for _, e := range m.Members {
		if i := indexMember(st.s.Candidates, e.Entry); i >= 0 {
			st.s.Candidates = removeMember(st.s.Candidates, i)
		}
	}
	st.audit("membership", fmt.Sprintf("version %d", m.Version), fmt.Sprintf("%d entries", len(m.Members)))
	return voidNone
}

// adjacent reports whether any majority of a meets any majority of b: b has one
// member more, or one fewer, or another run of one entry at the same address.
func adjacent(a, b []cfrecord.Member) bool {
	if !distinct(a) || !distinct(b) {
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
		return kept == len(a)-1 && sameAddresses(a, b)
	}
	return false
}

func sameAddresses(a, b []cfrecord.Member) bool {
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

func distinct(list []cfrecord.Member) bool {
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

// removeMember returns a new list without position i: the old one may be shared.
func removeMember(list []cfrecord.Member, i int) []cfrecord.Member {
	out := make([]cfrecord.Member, 0, len(list)-1)
	out = append(out, list[:i]...)
	return append(out, list[i+1:]...)
}
