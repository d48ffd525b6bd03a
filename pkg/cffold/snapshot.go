package cffold

import (
	"bytes"
	"crypto/sha256"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cferror"
	"cranberryford/pkg/cfrecord"
)

// Kind is the kind of an Error of this package.
type Kind string

// The kinds of errors.
const (
	// KindSnapshot is a snapshot that cannot be made or read.
	KindSnapshot Kind = "bad snapshot"
)

// Error is the error type of this package.
type Error = cferror.Error[Kind]

// MaxPartBytes is the size of one part of a snapshot.
const MaxPartBytes = 256 * 1024

// Encode returns the state as data. Equal states give equal data.
func (s *State) Encode(c *cfrecord.Codec) ([]byte, error) {
	data, err := c.Marshal(s)
	return data, cferror.Wrap("encode state", KindSnapshot, err)
}

// Decode returns the state that Encode made data of.
func Decode(c *cfrecord.Codec, data []byte) (*State, error) {
	s := NewState()
	if err := c.Unmarshal(data, s); err != nil {
		return nil, cferror.Wrap("decode state", KindSnapshot, err)
	}
	s.derive()
	return s, nil
}

// derive finds the parts of the state again that are not encoded.
func (s *State) derive() {
	for _, w := range s.Workers {
		w.Tasks = map[cfcore.TaskID]cfcore.Assignment{}
	}
	for id, t := range s.Tasks {
		if t.Status == TaskPending {
			s.Pending[id] = struct{}{}
		}
		if t.Status.OnWorker() {
			s.Assigned[t.Assignment] = id
			s.Workers[t.Worker].Tasks[id] = t.Assignment
		}
	}
	for _, id := range s.SeenOrder {
		s.Seen[id] = struct{}{}
	}
}

// Split cuts an encoded state into the records of one snapshot.
func Split(id cfrecord.BatchID, base cfcore.Offset, data []byte) []cfrecord.Record {
	parts := max(1, (len(data)+MaxPartBytes-1)/MaxPartBytes)
	out := make([]cfrecord.Record, parts)
	for i := range out {
		part := data[i*MaxPartBytes : min(len(data), (i+1)*MaxPartBytes)]
		out[i].Snapshot = &cfrecord.Snapshot{ID: id, Base: base, Part: i, Parts: parts, Data: part}
	}
	return out
}

// Reader folds the log from any point on: where entries before that point are
// missing, it waits for a whole snapshot, or for the state of another process.
type Reader struct {
	codec *cfrecord.Codec
	// State is nil until enough of the log has been read. It never goes back.
	State *State
	// Undecodable counts the entries that are not batches.
	Undecodable uint64

	// collecting is set while entries are missing between State and the log.
	collecting bool
	waiting    []waitingBatch
	parts      map[cfrecord.BatchID]*partial
}

type waitingBatch struct {
	off   cfcore.Offset
	batch *cfrecord.Batch
}

// partial is a snapshot of which some parts have been read.
type partial struct {
	base  cfcore.Offset
	parts map[int][]byte
}

// NewReader returns a reader without a state.
func NewReader(c *cfrecord.Codec) *Reader {
	return &Reader{codec: c, collecting: true, parts: map[cfrecord.BatchID]*partial{}}
}

// Begin says that the log is read from its first entry, so that no snapshot is needed.
func (r *Reader) Begin() {
	if r.State == nil {
		r.State = NewState()
		r.collecting = false
	}
}

// Current reports whether the state goes up to what has been read of the log.
func (r *Reader) Current() bool { return !r.collecting }

// Load takes over a state that is newer than the reader's own, and reports
// whether it did.
func (r *Reader) Load(s *State) bool {
	if r.State != nil && r.State.Offset >= s.Offset {
		return false
	}
	r.State = s
	r.catchUp()
	return true
}

// catchUp applies what was read meanwhile, as far as nothing is missing.
func (r *Reader) catchUp() {
	waiting := r.waiting
	if len(waiting) > 0 && waiting[0].off > r.State.Offset+1 {
		return
	}
	r.waiting = nil
	r.collecting = false
	clear(r.parts)
	for _, w := range waiting {
		if w.off > r.State.Offset {
			r.apply(w)
		}
	}
}

func (r *Reader) apply(w waitingBatch) []Outcome {
	if w.batch == nil {
		r.State.Offset = w.off
		return nil
	}
	return r.State.Apply(w.off, w.batch)
}

// Next folds one entry of the log. It returns the batch and its outcomes, or nil
// where the entry changes nothing yet. Data that is not a batch is passed over.
func (r *Reader) Next(e cfcore.LogEntry) (*cfrecord.Batch, []Outcome) {
	if r.State != nil && e.Offset <= r.State.Offset {
		return nil, nil
	}
	if r.State != nil && !r.collecting && e.Offset > r.State.Offset+1 {
		r.collecting = true
	}
	w := waitingBatch{off: e.Offset, batch: &cfrecord.Batch{}}
	if err := r.codec.Unmarshal(e.Data, w.batch); err != nil {
		r.Undecodable++
		w.batch = nil
	}
	if !r.collecting {
		return w.batch, r.apply(w)
	}
	r.waiting = append(r.waiting, w)
	if w.batch != nil {
		r.collect(w.batch)
	}
	return nil, nil
}

// collect adds the snapshot parts of a batch, and loads a snapshot that is whole.
func (r *Reader) collect(b *cfrecord.Batch) {
	for i := range b.Records {
		p := b.Records[i].Snapshot
		if p == nil {
			continue
		}
		whole := r.parts[p.ID]
		if whole == nil {
			whole = &partial{base: p.Base, parts: map[int][]byte{}}
			r.parts[p.ID] = whole
		}
		whole.parts[p.Part] = p.Data
		if len(whole.parts) == p.Parts {
			r.loadParts(p.ID, whole)
			return
		}
	}
}

// loadParts loads a whole snapshot, unless entries between its base and the first
// one that was read are missing.
func (r *Reader) loadParts(id cfrecord.BatchID, p *partial) {
	delete(r.parts, id)
	if p.base+1 < r.waiting[0].off {
		return
	}
	var data []byte
	for i := range len(p.parts) {
		data = append(data, p.parts[i]...)
	}
	s, err := Decode(r.codec, data)
	if err != nil {
		r.Undecodable++
		return
	}
	r.Load(s)
}

// Equal reports whether two states are the same.
func Equal(c *cfrecord.Codec, a, b *State) bool {
	da, errA := a.Encode(c)
	db, errB := b.Encode(c)
	if errA != nil || errB != nil {
		return false
	}
	ha, hb := sha256.Sum256(da), sha256.Sum256(db)
	return bytes.Equal(ha[:], hb[:])
}
