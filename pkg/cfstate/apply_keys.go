package cfstate

import "cranberryford/pkg/cfrecord"

func (rc *recordContext) claimKey(c *cfrecord.KeyClaim) Rejection {
	if rc.s.Key(c.Service, c.Key) != nil {
		return rejectedKey
	}
	if rc.s.Keys[c.Service] == nil {
		rc.s.Keys[c.Service] = map[string]*Key{}
	}
	rc.s.Keys[c.Service][c.Key] = &Key{Claim: c.Claim, Fingerprint: c.Fingerprint, At: rc.at}
	rc.s.KeyOrder = append(rc.s.KeyOrder, KeyName{Service: c.Service, Key: c.Key})
	return notRejected
}

// setKeyAnswer stores an answer under its key. It rejects the record if the key has an
// answer already, or if another claim holds the key.
func (rc *recordContext) setKeyAnswer(a *cfrecord.KeyAnswer) Rejection {
	k := rc.s.Key(a.Service, a.Key)
	if k == nil || k.Claim != a.Claim || k.Answer != nil {
		return rejectedKey
	}
	answer := a.Answer
	k.Answer = &answer
	return notRejected
}

// releaseKey removes a claimed key that has no answer. A later request can then claim the
// key again.
func (rc *recordContext) releaseKey(r *cfrecord.KeyRelease) Rejection {
	k := rc.s.Key(r.Service, r.Key)
	if k == nil || k.Claim != r.Claim || k.Answer != nil {
		return rejectedKey
	}
	rc.s.dropKey(KeyName{Service: r.Service, Key: r.Key})
	return notRejected
}
