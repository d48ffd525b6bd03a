package cfstate

import "cranberryford/pkg/cfrecord"

func (rc *recordContext) claimKey(c *cfrecord.KeyClaim) Rejection {
	if rc.state.Key(c.Service, c.Key) != nil {
		return rejectedKey
	}
	if rc.state.Keys[c.Service] == nil {
		rc.state.Keys[c.Service] = map[string]*Key{}
	}
	rc.state.Keys[c.Service][c.Key] = &Key{Claim: c.Claim, Fingerprint: c.Fingerprint, At: rc.at}
	rc.state.KeyOrder = append(rc.state.KeyOrder, KeyName{Service: c.Service, Key: c.Key})
	return notRejected
}

// setKeyAnswer stores an answer under its key. The record is rejected if the key has an
// answer already, if another claim holds the key, or if no claim does.
func (rc *recordContext) setKeyAnswer(a *cfrecord.KeyAnswer) Rejection {
	k := rc.state.Key(a.Service, a.Key)
	if k == nil || k.Claim != a.Claim || k.Answer != nil {
		return rejectedKey
	}
	answer := a.Answer
	k.Answer = &answer
	return notRejected
}

// releaseKey removes a claimed key, unless the key has an answer or another claim holds the
// key. A later request can then claim the key again.
func (rc *recordContext) releaseKey(r *cfrecord.KeyRelease) Rejection {
	k := rc.state.Key(r.Service, r.Key)
	if k == nil || k.Claim != r.Claim || k.Answer != nil {
		return rejectedKey
	}
	rc.state.dropKey(KeyName{Service: r.Service, Key: r.Key})
	return notRejected
}
