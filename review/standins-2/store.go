package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's log. It has the calls that the system uses: appends
// with at, producer, epoch and sequence, reads, and the newest record of each key.
type store struct {
	mu      sync.Mutex
	topics  map[string][][]byte
	epochs  map[string]uint64
	seqs    map[string]uint64
	answers map[string]string
	grown   chan struct{}
}

func newStore() *store {
	return &store{topics: map[string][][]byte{}, epochs: map[string]uint64{}, seqs: map[string]uint64{}, answers: map[string]string{}, grown: make(chan struct{})}
}

func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(topic, append(append([]byte{byte(len(key))}, key...), value...))
}

// add appends a record. The caller holds mu.
func (s *store) add(topic string, record []byte) {
	s.topics[topic] = append(s.topics[topic], record)
	close(s.grown)
	s.grown = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	topic := q.Get("topic")
	switch r.URL.Path {
	case "/log-append":
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		time.Sleep(4 * time.Millisecond)
		s.append(w, q.Get, topic, body)
	case "/log-read":
		from, _ := strconv.Atoi(q.Get("from"))
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.read(w, r, topic, from, time.Duration(wait)*time.Millisecond)
	case "/log-newest":
		s.newest(w, topic, q.Get("after"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func answer(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text)
}

func (s *store) append(w http.ResponseWriter, get func(string) string, topic string, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	end := len(s.topics[topic])
	var repeatKey string
	if p := get("producer"); p != "" {
		epoch, _ := strconv.ParseUint(get("epoch"), 10, 64)
		seq, _ := strconv.ParseUint(get("sequence"), 10, 64)
		p = topic + "/" + p
		repeatKey = fmt.Sprintf("%s/%d/%d", p, epoch, seq)
		switch {
		case epoch < s.epochs[p]:
			answer(w, http.StatusConflict, `{"reason":"fenced"}`)
			return
		case s.answers[repeatKey] != "":
			answer(w, http.StatusOK, s.answers[repeatKey])
			return
		case epoch == s.epochs[p] && seq != s.seqs[p]+1:
			answer(w, http.StatusConflict, fmt.Sprintf(`{"reason":"seq","expected":%d}`, s.seqs[p]+1))
			return
		}
		if at := get("at"); at != "" && at != strconv.Itoa(end) {
			answer(w, http.StatusPreconditionFailed, fmt.Sprintf(`{"end_offset":%d}`, end))
			return
		}
		s.epochs[p], s.seqs[p] = epoch, seq
	}
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		s.add(topic, body[4:4+n])
		body = body[4+n:]
	}
	text := fmt.Sprintf(`{"offset":%d,"end_offset":%d}`, end, len(s.topics[topic]))
	if repeatKey != "" {
		s.answers[repeatKey] = text
	}
	answer(w, http.StatusOK, text)
}

func (s *store) read(w http.ResponseWriter, r *http.Request, topic string, from int, wait time.Duration) {
	until := time.After(wait)
	for {
		s.mu.Lock()
		records, grown := s.topics[topic], s.grown
		s.mu.Unlock()
		if len(records) > from || wait == 0 {
			out := make([]byte, 16)
			binary.BigEndian.PutUint64(out, uint64(len(records)))
			for i := from; i < len(records) && len(out) < 1<<20; i++ {
				out = binary.BigEndian.AppendUint32(out, uint32(len(records[i])))
				out = append(out, records[i]...)
			}
			_, _ = w.Write(out)
			return
		}
		select {
		case <-grown:
		case <-until:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) newest(w http.ResponseWriter, topic, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	byKey := map[string]item{}
	for i, r := range s.topics[topic] {
		k := string(r[1 : 1+int(r[0])])
		byKey[k] = item{Key: k, Value: r[1+int(r[0]):], Offset: i}
		if len(byKey[k].Value) == 0 {
			delete(byKey, k)
		}
	}
	items := []item{}
	for k, i := range byKey {
		if k > after {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	more := len(items) > 500
	if more {
		items = items[:500]
	}
	data, _ := json.Marshal(map[string]any{"items": items, "has_more": more, "end_offset": len(s.topics[topic])})
	answer(w, http.StatusOK, string(data))
}
