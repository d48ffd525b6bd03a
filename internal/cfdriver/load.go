package cfdriver

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Load describes concurrent callers. Each caller sends one request after another.
type Load struct {
	// Callers is the number of callers, which is also the maximum number of requests in
	// flight.
	Callers int
	// Entries are the indexes of the entries to use. The callers are assigned to them round
	// robin, and each caller keeps its entry.
	Entries []int
	Method  string
	Path    string
	// Pause is the time that a caller waits before each request.
	Pause time.Duration
	// Body returns the text that follows the key in the body of request i. With nil, the
	// body is the key alone.
	Body func(i int) string
	// Headers are further headers of each request, as alternating names and values.
	Headers []string
	// NewConnections is set if each request opens a new connection.
	NewConnections bool
}

// SentRequest is one request of a load with its reply. At is when the request was sent.
type SentRequest struct {
	Reply
	Key         string
	RequestBody string
	At          time.Time
}

// RunningLoad is a load that Start has started and that runs until Stop.
type RunningLoad struct {
	stop chan struct{}
	wg   sync.WaitGroup
	mu   sync.Mutex
	sent []SentRequest
}

// loadNumber is the number of loads started so far. It is part of each request's key, so that
// the keys of different loads differ.
var loadNumber atomic.Int64

// Start starts a load, which runs until Stop.
func (c *Cluster) Start(l Load) *RunningLoad {
	r := &RunningLoad{stop: make(chan struct{})}
	prefix := fmt.Sprintf("load%d", loadNumber.Add(1))
	var next atomic.Int64
	for caller := range l.Callers {
		r.wg.Add(1)
		go func() {
			defer GinkgoRecover()
			defer r.wg.Done()
			client := &http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{DisableKeepAlives: l.NewConnections}}
			defer client.CloseIdleConnections()
			entry := l.Entries[caller%len(l.Entries)]
			for {
				select {
				case <-r.stop:
					return
				case <-time.After(l.Pause):
				}
				i := int(next.Add(1))
				r.sendRequest(c, client, l, entry, fmt.Sprintf("%s-%d", prefix, i), i)
			}
		}()
	}
	return r
}

// sendRequest sends request i through an entry and records the reply.
func (r *RunningLoad) sendRequest(c *Cluster, client *http.Client, l Load, entry int, key string, i int) {
	body := key
	if l.Body != nil {
		body = key + l.Body(i)
	}
	headers := append([]string{"Call-Key", key}, l.Headers...)
	at := time.Now()
	reply := Send(client, l.Method, fmt.Sprintf("http://%s%s", c.Entries[entry].Callers, l.Path), body, headers...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent = append(r.sent, SentRequest{Reply: reply, Key: key, RequestBody: body, At: at})
}

// Stop ends the load, waits for the replies in flight and returns all requests.
func (r *RunningLoad) Stop() []SentRequest {
	close(r.stop)
	r.wg.Wait()
	return r.sent
}

// Tally counts replies by verdict. A request without a complete reply counts as "error".
func Tally(sent []SentRequest) map[string]int {
	out := map[string]int{}
	for _, s := range sent {
		if s.Err != nil {
			out["error"]++
			continue
		}
		out[s.Verdict]++
	}
	return out
}

// CheckCalls fails the spec if an answer is incomplete or belongs to another request, if a
// request was answered but not executed, if a request refused as NotRun was executed, or if
// a request was executed more than once. The requests must not be idempotent: idempotent
// requests are allowed to run more than once.
func (c *Cluster) CheckCalls(sent []SentRequest) {
	GinkgoHelper()
	executions := c.ExecutionCounts()
	for _, s := range sent {
		n := executions[s.Key]
		if s.Err == nil && s.Verdict == "Answered" {
			Expect(s.Body == s.RequestBody).To(BeTrue(), "call %s was answered with another body: %.60q", s.Key, s.Body)
			Expect(n).To(BeNumerically(">=", 1), "call %s was answered but not executed", s.Key)
		}
		if s.Verdict == "NotRun" {
			Expect(n).To(BeZero(), "call %s was refused as NotRun but was executed: %s", s.Key, strings.TrimSpace(s.Body))
		}
		Expect(n).To(BeNumerically("<=", 1), "call %s was executed %d times", s.Key, n)
	}
}
