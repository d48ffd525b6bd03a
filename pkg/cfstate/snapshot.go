package cfstate

import (
	"bytes"
	"crypto/sha256"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cferror"
	"cranberryford/pkg/cfrecord"
)

// Kind classifies the errors of this package.
type Kind string

// Encode and Decode return errors of this kind.
const (
	// KindSnapshot marks a state that cannot be encoded, or an encoded state that cannot be
	// decoded.
	KindSnapshot Kind = "bad snapshot"
)

// Error is the error type of this package.
type Error = cferror.Error[Kind]

// MaxSnapshotPartBytes limits the Data of one cfrecord.Snapshot. SplitSnapshot splits a larger
// state into several parts.
const MaxSnapshotPartBytes = 256 * 1024

// Encode encodes the state. Equal states have equal encodings.
func (s *State) Encode(c *cfrecord.Codec) ([]byte, error) {
	data, err := c.Marshal(s)
	return data, cferror.Wrap("encode state", KindSnapshot, err)
}

// Decode decodes data that Encode has returned.
func Decode(c *cfrecord.Codec, data []byte) (*State, error) {
	s := NewState()
	if err := c.Unmarshal(data, s); err != nil {
		return nil, cferror.Wrap("decode state", KindSnapshot, err)
	}
	s.rebuildIndexes()
	return s, nil
}

// rebuildIndexes rebuilds Assigned, Pending, Seen, the Tasks of the workers and the indexes of the
// workloads, which are not encoded.
func (s *State) rebuildIndexes() {
	for _, w := range s.Workers {
		w.Tasks = map[cfcore.TaskID]cfcore.Assignment{}
	}
	for id, t := range s.Tasks {
		if wl := s.Workloads[t.Workload]; wl != nil {
			wl.index(t)
		}
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

// SplitSnapshot splits an encoded state into the records of one snapshot. base is the
// offset of the state, and data its encoding.
func SplitSnapshot(id cfrecord.BatchID, base cfcore.Offset, data []byte) []cfrecord.Record {
	parts := max(1, (len(data)+MaxSnapshotPartBytes-1)/MaxSnapshotPartBytes)
	out := make([]cfrecord.Record, parts)
	for i := range out {
		part := data[i*MaxSnapshotPartBytes : min(len(data), (i+1)*MaxSnapshotPartBytes)]
		out[i].Snapshot = &cfrecord.Snapshot{ID: id, Base: base, Part: i, Parts: parts, Data: part}
	}
	return out
}

// LogReader builds the state from the log. The first entry that it reads can be at any
// offset. While earlier entries are missing, the reader buffers the entries that it reads. It
// then gets a state from a complete snapshot on the log, or from another process through Load.
type LogReader struct {
	codec *cfrecord.Codec
	// State is nil until StartEmpty, Load or a snapshot on the log provides a state. The
	// offset of State never decreases.
	State *State
	// Undecodable counts entries and snapshots that cannot be decoded.
	Undecodable uint64

	// hasGap is set while State is nil, and while log entries between State and the buffered
	// entries are missing.
	hasGap   bool
	buffered []bufferedBatch
	// parts holds the parts of the snapshots that are not complete yet, by snapshot ID.
	parts map[cfrecord.BatchID]*partialSnapshot
}

// bufferedBatch is a log entry that waits for earlier entries. batch is nil if the entry
// cannot be decoded.
type bufferedBatch struct {
	off   cfcore.Offset
	batch *cfrecord.Batch
}

// partialSnapshot holds the parts of one snapshot that have been read so far, by index.
type partialSnapshot struct {
	base  cfcore.Offset
	parts map[int][]byte
}

// NewLogReader returns a reader that has no state yet.
func NewLogReader(c *cfrecord.Codec) *LogReader {
	return &LogReader{codec: c, hasGap: true, parts: map[cfrecord.BatchID]*partialSnapshot{}}
}

// StartEmpty gives the reader an empty state, unless it has a state already. A reader that
// reads the log from its first entry needs no snapshot and starts in this way.
func (r *LogReader) StartEmpty() {
	if r.State == nil {
		r.State = NewState()
		r.hasGap = false
	}
}

// IsCurrent reports whether the state contains every log entry that has been read.
func (r *LogReader) IsCurrent() bool { return !r.hasGap }

// Load replaces the reader's state by s if s is newer, and reports whether s is newer. After a
// replacement, Load applies the buffered log entries, unless entries before them are still
// missing.
func (r *LogReader) Load(s *State) bool {
	if r.State != nil && r.State.Offset >= s.Offset {
		return false
	}
	r.State = s
	r.applyBuffered()
	return true
}

// applyBuffered applies the buffered entries, unless entries before them are still missing.
func (r *LogReader) applyBuffered() {
	buffered := r.buffered
	if len(buffered) > 0 && buffered[0].off > r.State.Offset+1 {
		return
	}
	r.buffered = nil
	r.hasGap = false
	clear(r.parts)
	for _, b := range buffered {
		if b.off > r.State.Offset {
			r.applyBatch(b)
		}
	}
}

func (r *LogReader) applyBatch(b bufferedBatch) []Outcome {
	if b.batch == nil {
		r.State.Offset = b.off
		return nil
	}
	return r.State.Apply(b.off, b.batch)
}

// Apply applies one log entry, and returns its batch and the outcomes of its records. It
// returns nil for both if the state already contains the entry, or the entry is buffered
// or cannot be decoded. An undecodable entry is counted in Undecodable and then skipped.
func (r *LogReader) Apply(e cfcore.LogEntry) (*cfrecord.Batch, []Outcome) {
	if r.State != nil && e.Offset <= r.State.Offset {
		return nil, nil
	}
	if r.State != nil && !r.hasGap && e.Offset > r.State.Offset+1 {
		r.hasGap = true
	}
	b := bufferedBatch{off: e.Offset, batch: &cfrecord.Batch{}}
	if err := r.codec.Unmarshal(e.Data, b.batch); err != nil {
		r.Undecodable++
		b.batch = nil
	}
	if !r.hasGap {
		return b.batch, r.applyBatch(b)
	}
	r.buffered = append(r.buffered, b)
	if b.batch != nil {
		r.collectSnapshotParts(b.batch)
	}
	return nil, nil
}

// collectSnapshotParts stores the snapshot parts in a batch. If a snapshot becomes
// complete, it loads that snapshot and ignores the rest of the batch.
func (r *LogReader) collectSnapshotParts(b *cfrecord.Batch) {
	for i := range b.Records {
		p := b.Records[i].Snapshot
		if p == nil {
			continue
		}
		snapshot := r.parts[p.ID]
		if snapshot == nil {
			snapshot = &partialSnapshot{base: p.Base, parts: map[int][]byte{}}
			r.parts[p.ID] = snapshot
		}
		snapshot.parts[p.Part] = p.Data
		if len(snapshot.parts) == p.Parts {
			r.loadSnapshot(p.ID, snapshot)
			return
		}
	}
}

// loadSnapshot loads a complete snapshot. The snapshot is discarded if entries between its
// base and the first buffered entry are missing, or if it cannot be decoded.
func (r *LogReader) loadSnapshot(id cfrecord.BatchID, p *partialSnapshot) {
	delete(r.parts, id)
	if p.base+1 < r.buffered[0].off {
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

// Equal reports whether a and b have the same encoding. It returns false if one of them
// cannot be encoded.
func Equal(c *cfrecord.Codec, a, b *State) bool {
	da, errA := a.Encode(c)
	db, errB := b.Encode(c)
	if errA != nil || errB != nil {
		return false
	}
	ha, hb := sha256.Sum256(da), sha256.Sum256(db)
	return bytes.Equal(ha[:], hb[:])
}
