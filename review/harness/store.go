package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the platform's store, from the settings in DEPLOY.md.
const (
	recordBytes = 262144
	callBytes   = 2097152
	newestPage  = 500
)

type storeMode int

const (
	storeUp storeMode = iota
	// storeBusy answers all calls with 503; nothing is done.
	storeBusy
)

type record struct {
	data   []byte
	offset int64
}

type producerState struct {
	epoch, sequence uint64
	// answers holds the answers to the last five appends, by sequence number.
	answers map[uint64][]byte
}

type partition struct {
	records   []record
	newest    map[string]record
	producers map[string]*producerState
	changed   chan struct{}
}

// store is a stand-in for the platform's store. It loses nothing that it has acknowledged.
type store struct {
	mu    sync.Mutex
	parts map[string]*partition
	mode  storeMode
	// late, if set, decides for an append whether it gets no answer and is executed only after
	// a delay.
	late func(keys []string) (delay time.Duration, isLate bool)
	// tooLarge counts the appends that were rejected because a record or the call was too large.
	tooLarge int
	record   func(format string, args ...any)
}

func newStore(rec func(string, ...any)) *store {
	return &store{parts: map[string]*partition{}, record: rec}
}

func (s *store) setMode(m storeMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
}

func (s *store) part(topic, part string) *partition {
	k := topic + "/" + part
	p := s.parts[k]
	if p == nil {
		p = &partition{newest: map[string]record{}, producers: map[string]*producerState{}, changed: make(chan struct{})}
		s.parts[k] = p
	}
	return p
}

// put appends a keyed record as the operator does.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(topic, "0")
	p.append([][]byte{append(append([]byte{byte(len(key))}, key...), value...)}, strings.HasPrefix(topic, "keyed."))
}

func (p *partition) append(recs [][]byte, keyed bool) (int64, int64) {
	first := int64(len(p.records))
	for _, r := range recs {
		rec := record{data: r, offset: int64(len(p.records))}
		p.records = append(p.records, rec)
		if keyed && len(r) > int(r[0]) {
			key := string(r[1 : 1+r[0]])
			if len(r) == 1+int(r[0]) {
				delete(p.newest, key)
			} else {
				p.newest[key] = rec
			}
		}
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return first, int64(len(p.records))
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	s.mu.Lock()
	m := s.mode
	var delay time.Duration
	isLate := false
	if s.late != nil && m == storeUp && r.URL.Path == "/log-append" {
		delay, isLate = s.late(keysOf(body))
	}
	s.mu.Unlock()
	if m == storeBusy {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if isLate {
		time.AfterFunc(delay, func() {
			a := httptest.NewRecorder()
			s.serveAppend(a, q, body)
			s.record("store: an append that had got no answer was executed after %s, keys %v: status %d", delay.Round(time.Millisecond), keysOf(body), a.Code)
		})
		<-r.Context().Done()
		return
	}
	switch r.URL.Path {
	case "/log-append":
		s.serveAppend(w, q, body)
	case "/log-read":
		s.serveRead(w, r, q)
	case "/log-newest":
		s.serveNewest(w, q)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// keysOf returns the keys of the keyed records of an append.
func keysOf(body []byte) []string {
	var out []string
	for len(body) > 4 {
		n := int(binary.BigEndian.Uint32(body))
		rec := body[4 : 4+n]
		out = append(out, string(rec[1:1+rec[0]]))
		body = body[4+n:]
	}
	return out
}

func answer(w http.ResponseWriter, status int, v any) []byte {
	data, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
	return data
}

func (s *store) serveAppend(w http.ResponseWriter, q url.Values, body []byte) {
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	var recs [][]byte
	for data, total := body, 0; len(data) > 0; {
		if len(data) < 4 || int(binary.BigEndian.Uint32(data)) > len(data)-4 {
			answer(w, http.StatusBadRequest, map[string]string{"reason": "format"})
			return
		}
		n := int(binary.BigEndian.Uint32(data))
		if total += n; n > recordBytes || total > callBytes {
			s.tooLarge++
			if s.tooLarge <= 3 || s.tooLarge%50 == 0 {
				s.record("store: append number %d rejected with 400: a record has %d bytes (record_bytes %d), the call %d so far (call_bytes %d)", s.tooLarge, n, recordBytes, total, callBytes)
			}
			answer(w, http.StatusBadRequest, map[string]string{"reason": "size"})
			return
		}
		recs = append(recs, data[4:4+n])
		data = data[4+n:]
	}
	topic := q.Get("topic")
	p := s.part(topic, q.Get("part"))
	end := int64(len(p.records))
	var ps *producerState
	var epoch, seq uint64
	if name := q.Get("producer"); name != "" {
		epoch, _ = strconv.ParseUint(q.Get("epoch"), 10, 64)
		seq, _ = strconv.ParseUint(q.Get("sequence"), 10, 64)
		if ps = p.producers[name]; ps == nil {
			ps = &producerState{answers: map[uint64][]byte{}}
			p.producers[name] = ps
		}
		if epoch < ps.epoch {
			answer(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		}
		if epoch == ps.epoch && ps.sequence > 0 {
			if a, ok := ps.answers[seq]; ok {
				w.Header().Set("Content-Type", "application/json")
				_, _ = w.Write(a)
				return
			}
			if seq != ps.sequence+1 {
				answer(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": ps.sequence + 1})
				return
			}
		}
	}
	if q.Has("at") {
		if at, _ := strconv.ParseInt(q.Get("at"), 10, 64); at != end {
			answer(w, http.StatusPreconditionFailed, map[string]any{"end_offset": end})
			return
		}
	}
	first, end := p.append(recs, strings.HasPrefix(topic, "keyed."))
	data := answer(w, http.StatusOK, map[string]any{"offset": first, "end_offset": end})
	if ps != nil {
		if epoch > ps.epoch {
			ps.answers = map[uint64][]byte{}
		}
		ps.epoch, ps.sequence = epoch, seq
		ps.answers[seq] = data
		delete(ps.answers, seq-5)
	}
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, q url.Values) {
	time.Sleep(4 * time.Millisecond)
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	waitMS, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	maxKB, _ := strconv.Atoi(q.Get("max_kb"))
	if maxKB == 0 {
		maxKB = 1024
	}
	deadline := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		s.mu.Lock()
		p := s.part(q.Get("topic"), q.Get("part"))
		if from < int64(len(p.records)) || waitMS == 0 {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(p.records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, rec := range p.records[min(int(from), len(p.records)):] {
				if len(out)+len(rec.data) > maxKB<<10 && len(out) > 16 {
					break
				}
				out = binary.BigEndian.AppendUint32(out, uint32(len(rec.data)))
				out = append(out, rec.data...)
			}
			s.mu.Unlock()
			_, _ = w.Write(out)
			return
		}
		changed := p.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waitMS = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveNewest(w http.ResponseWriter, q url.Values) {
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	p := s.part(q.Get("topic"), q.Get("part"))
	keys := make([]string, 0, len(p.newest))
	for k := range p.newest {
		if k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items, size, more := []map[string]any{}, 0, false
	for _, k := range keys {
		rec := p.newest[k]
		if len(items) >= newestPage || size+len(rec.data) > 1<<20 && len(items) > 0 {
			more = true
			break
		}
		size += len(rec.data)
		items = append(items, map[string]any{"key": k, "value": base64.StdEncoding.EncodeToString(rec.data[1+len(k):]), "offset": rec.offset})
	}
	end := len(p.records)
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end_offset": end})
}
