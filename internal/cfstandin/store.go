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

// storePage bounds the records of one page of the newest records.
const storePage = 500

// producersKept is how many appends of a producer are remembered for repeats.
const producersKept = 5

// Store is the platform's store in memory, as far as topics with keys go.
type Store struct {
	mu     sync.Mutex
	topics map[cfcore.Topic]*topic
}

type topic struct {
	first     int64
	records   []cfcore.KeyedRecord
	newest    map[string]cfcore.KeyedRecord
	producers map[string]*producer
	// grown is closed and replaced at each append.
	grown chan struct{}
}

type producer struct {
	epoch    cfcore.Epoch
	sequence uint64
	ends     map[uint64]int64
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{topics: map[cfcore.Topic]*topic{}} }

func (s *Store) topic(t cfcore.Topic) *topic {
	tp := s.topics[t]
	if tp == nil {
		tp = &topic{newest: map[string]cfcore.KeyedRecord{}, producers: map[string]*producer{}, grown: make(chan struct{})}
		s.topics[t] = tp
	}
	return tp
}

func (t *topic) end() int64 { return t.first + int64(len(t.records)) }

// Append implements cfcore.Store.
func (s *Store) Append(_ context.Context, name cfcore.Topic, records []cfcore.KeyedRecord, o cfcore.AppendOptions) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if o.Producer != nil {
		end, repeated, err := t.admit(*o.Producer)
		if repeated || err != nil {
			return end, err
		}
	}
	if o.At != nil && *o.At != t.end() {
		return t.end(), cferror.New("append", cfcore.StoreConflict, "partition ends at %d", t.end())
	}
	t.add(records)
	if p := o.Producer; p != nil {
		if t.producers[p.Name] == nil {
			t.producers[p.Name] = &producer{ends: map[uint64]int64{}}
		}
		t.producers[p.Name].note(*p, t.end())
	}
	return t.end(), nil
}

// admit checks a producer's append. A repeat gets the answer of the first one.
func (t *topic) admit(p cfcore.Producer) (end int64, repeated bool, err error) {
	known := t.producers[p.Name]
	switch {
	case known == nil || p.Epoch > known.epoch:
		return 0, false, nil
	case p.Epoch < known.epoch:
		return 0, false, cferror.New("append", cfcore.StoreFenced, "epoch %d", p.Epoch)
	}
	if end, ok := known.ends[p.Sequence]; ok {
		return end, true, nil
	}
	if p.Sequence != known.sequence+1 {
		return 0, false, cferror.New("append", cfcore.StoreSequence, "sequence %d after %d", p.Sequence, known.sequence)
	}
	return 0, false, nil
}

func (t *topic) add(records []cfcore.KeyedRecord) {
	for _, r := range records {
		r.Offset = t.end()
		r.Value = slices.Clone(r.Value)
		t.records = append(t.records, r)
		if len(r.Value) == 0 {
			delete(t.newest, r.Key)
			continue
		}
		t.newest[r.Key] = r
	}
	close(t.grown)
	t.grown = make(chan struct{})
}

// note remembers an append of a producer; an epoch that is newer replaces all.
func (p *producer) note(by cfcore.Producer, end int64) {
	if by.Epoch > p.epoch {
		p.epoch, p.ends = by.Epoch, map[uint64]int64{}
	}
	p.sequence = by.Sequence
	p.ends[by.Sequence] = end
	delete(p.ends, by.Sequence-producersKept)
}

// Read implements cfcore.Store.
func (s *Store) Read(ctx context.Context, name cfcore.Topic, from int64, wait time.Duration) (cfcore.StorePage, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for waiting := true; ; {
		page, grown, err := s.page(name, from)
		if err != nil || len(page.Records) > 0 || !waiting {
			return page, err
		}
		select {
		case <-grown:
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
			return page, cferror.Wrap("read", cfcore.StoreOutcomeUnknown, ctx.Err())
		}
	}
}

func (s *Store) page(name cfcore.Topic, from int64) (cfcore.StorePage, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if from < t.first {
		return cfcore.StorePage{}, nil, cferror.New("read", cfcore.StoreExpired, "first offset is %d", t.first)
	}
	records := slices.Clone(t.records[min(from, t.end())-t.first:])
	return cfcore.StorePage{Next: max(from, t.end()), End: t.end(), Records: records}, t.grown, nil
}

// Newest implements cfcore.Store.
func (s *Store) Newest(_ context.Context, name cfcore.Topic, after string) (cfcore.NewestPage, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	page := cfcore.NewestPage{End: t.end()}
	for _, k := range slices.Sorted(maps.Keys(t.newest)) {
		if k <= after {
			continue
		}
		if len(page.Records) == storePage {
			page.More = true
			break
		}
		page.Records = append(page.Records, t.newest[k])
	}
	return page, nil
}

// Expire drops the history of all topics. The newest record of each key stays.
func (s *Store) Expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.topics {
		t.first, t.records = t.end(), nil
	}
}
