package cfstandin

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cferror"
)

// newestPageSize is the largest number of records in a page from Newest.
const newestPageSize = 500

// appendsRemembered is the number of latest appends that the store remembers for each
// producer. A repeat of a remembered append gets the same answer as the original.
const appendsRemembered = 5

// Store is an in-memory fake of the platform's store. For every topic, it keeps the newest
// record of each key, also after the history has expired.
type Store struct {
	mu     sync.Mutex
	topics map[cfcore.Topic]*topic
}

// topic holds the retained records of one topic and the state of its producers.
type topic struct {
	// firstOffset is the offset of the oldest record retained. If no record is retained, it is
	// the offset that the next record gets.
	firstOffset int64
	records     []cfcore.KeyedRecord
	// newest holds the latest record of each key. A record with an empty value removes its
	// key.
	newest    map[string]cfcore.KeyedRecord
	producers map[string]*producer
	// appended is closed and replaced on each append, which wakes waiting readers.
	appended chan struct{}
}

// producer is the state of a producer on one topic.
type producer struct {
	// epoch is the producer's newest epoch, and sequence the number of the last append.
	epoch    cfcore.Epoch
	sequence uint64
	// endOffsets holds the remembered appends. A key is the sequence number of an append, and
	// the value is the topic's end offset after that append.
	endOffsets map[uint64]int64
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{topics: map[cfcore.Topic]*topic{}} }

// topic returns a topic and creates it if needed. The caller holds s.mu.
func (s *Store) topic(t cfcore.Topic) *topic {
	tp := s.topics[t]
	if tp == nil {
		tp = &topic{newest: map[string]cfcore.KeyedRecord{}, producers: map[string]*producer{}, appended: make(chan struct{})}
		s.topics[t] = tp
	}
	return tp
}

// endOffset returns the offset of the next record appended.
func (t *topic) endOffset() int64 { return t.firstOffset + int64(len(t.records)) }

// Append implements cfcore.Store.
func (s *Store) Append(_ context.Context, name cfcore.Topic, records []cfcore.KeyedRecord, o cfcore.AppendOptions) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if o.Producer != nil {
		end, repeated, err := t.checkProducer(*o.Producer)
		if repeated || err != nil {
			return end, err
		}
	}
	if o.At != nil && *o.At != t.endOffset() {
		return t.endOffset(), cferror.New("append records", cfcore.StoreConflict, "the partition ends at offset %d, not at the required offset", t.endOffset())
	}
	t.addRecords(records)
	if p := o.Producer; p != nil {
		if t.producers[p.Name] == nil {
			t.producers[p.Name] = &producer{endOffsets: map[uint64]int64{}}
		}
		t.producers[p.Name].recordAppend(*p, t.endOffset())
	}
	return t.endOffset(), nil
}

// checkProducer checks the epoch and the sequence number of an append. If the append repeats
// an earlier one, repeated is true and end is the end offset after the original. A repeated
// append must not be stored again.
func (t *topic) checkProducer(p cfcore.Producer) (end int64, repeated bool, err error) {
	last := t.producers[p.Name]
	switch {
	case last == nil || p.Epoch > last.epoch:
		return 0, false, nil
	case p.Epoch < last.epoch:
		return 0, false, cferror.New("append records", cfcore.StoreFenced, "producer epoch %d is not the newest", p.Epoch)
	}
	if end, ok := last.endOffsets[p.Sequence]; ok {
		return end, true, nil
	}
	if p.Sequence != last.sequence+1 {
		return 0, false, cferror.New("append records", cfcore.StoreSequence, "sequence number %d does not follow the last one, %d", p.Sequence, last.sequence)
	}
	return 0, false, nil
}

// addRecords appends records and wakes waiting readers.
func (t *topic) addRecords(records []cfcore.KeyedRecord) {
	for _, r := range records {
		r.Offset = t.endOffset()
		r.Value = slices.Clone(r.Value)
		t.records = append(t.records, r)
		if len(r.Value) == 0 {
			delete(t.newest, r.Key)
			continue
		}
		t.newest[r.Key] = r
	}
	close(t.appended)
	t.appended = make(chan struct{})
}

// recordAppend remembers an append. The parameter end is the topic's end offset after the append.
// The first append of a newer epoch discards the remembered appends of earlier epochs.
func (p *producer) recordAppend(latest cfcore.Producer, end int64) {
	if latest.Epoch > p.epoch {
		p.epoch, p.endOffsets = latest.Epoch, map[uint64]int64{}
	}
	p.sequence = latest.Sequence
	p.endOffsets[latest.Sequence] = end
	delete(p.endOffsets, latest.Sequence-appendsRemembered)
}

// Read implements cfcore.Store.
func (s *Store) Read(ctx context.Context, name cfcore.Topic, from int64, wait time.Duration) (cfcore.StorePage, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for canWait := true; ; {
		page, appended, err := s.page(name, from)
		if err != nil || len(page.Records) > 0 || !canWait {
			return page, err
		}
		select {
		case <-appended:
		case <-timer.C:
			canWait = false
		case <-ctx.Done():
			return page, cferror.Wrap("read records", cfcore.StoreOutcomeUnknown, ctx.Err())
		}
	}
}

// page returns all records from an offset on, and a channel that is closed on the topic's
// next append.
func (s *Store) page(name cfcore.Topic, from int64) (cfcore.StorePage, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if from < t.firstOffset {
		return cfcore.StorePage{}, nil, cferror.New("read records", cfcore.StoreExpired, "the topic retains only offsets from %d on", t.firstOffset)
	}
	records := slices.Clone(t.records[min(from, t.endOffset())-t.firstOffset:])
	return cfcore.StorePage{Next: max(from, t.endOffset()), End: t.endOffset(), Records: records}, t.appended, nil
}

// Newest implements cfcore.Store.
func (s *Store) Newest(_ context.Context, name cfcore.Topic, after string) (cfcore.NewestPage, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	page := cfcore.NewestPage{End: t.endOffset()}
	for _, k := range slices.Sorted(maps.Keys(t.newest)) {
		if k <= after {
			continue
		}
		if len(page.Records) == newestPageSize {
			page.More = true
			break
		}
		page.Records = append(page.Records, t.newest[k])
	}
	return page, nil
}

// Expire drops the history of all topics but keeps the newest record of each key.
func (s *Store) Expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.topics {
		t.firstOffset, t.records = t.endOffset(), nil
	}
}
