package cffold

import "cranberryford/pkg/cfrecord"

func (st *step) keyClaim(c *cfrecord.KeyClaim) Void {
	if st.s.Key(c.Service, c.Key) != nil {
		return voidKey
	}
	if st.s.Keys[c.Service] == nil {
		st.s.Keys[c.Service] = map[string]*Key{}
	}
	st.s.Keys[c.Service][c.Key] = &Key{Claim: c.Claim, Print: c.Print, At: st.at}
	st.s.KeyOrder = append(st.s.KeyOrder, KeyName{Service: c.Service, Key: c.Key})
	return voidNone
}

func (st *step) keyAnswer(a *cfrecord.KeyAnswer) Void {
	k := st.s.Key(a.Service, a.Key)
	if k == nil || k.Claim != a.Claim || k.Answer != nil {
		return voidKey
	}
	answer := a.Answer
	k.Answer = &answer
	return voidNone
}

func (st *step) keyRelease(r *cfrecord.KeyRelease) Void {
	k := st.s.Key(r.Service, r.Key)
	if k == nil || k.Claim != r.Claim || k.Answer != nil {
		return voidKey
	}
	st.s.dropKey(KeyName{Service: r.Service, Key: r.Key})
	return voidNone
}
