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

// Load is callers that send one request after the other.
type Load struct {
	// Callers is the number of requests open at the same time.
	Callers int
	// Entries are the entries that the callers use, in turn.
	Entries []int
	Method  string
	Path    string
	// Pause is the time between two requests of one caller.
	Pause time.Duration
	// Body returns the body of request i; nil for a short one that names it.
	Body func(i int) string
	// Headers are more headers of each request, as names and values.
	Headers []string
	// Fresh opens a connection for each request.
	Fresh bool
}

// Sent is one request with its reply.
type Sent struct {
	Reply
	Key  string
	Sent string
	At   time.Time
}

// Running is a load under way.
type Running struct {
	stop chan struct{}
	wg   sync.WaitGroup
	mu   sync.Mutex
	sent []Sent
}

// loadNumber tells the keys of different loads apart.
var loadNumber atomic.Int64

// Start starts a load.
func (c *Cluster) Start(l Load) *Running {
	r := &Running{stop: make(chan struct{})}
	prefix := fmt.Sprintf("load%d", loadNumber.Add(1))
	var next atomic.Int64
	for k := range l.Callers {
		r.wg.Add(1)
		go func() {
			defer GinkgoRecover()
			defer r.wg.Done()
			client := &http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{DisableKeepAlives: l.Fresh}}
			defer client.CloseIdleConnections()
			entry := l.Entries[k%len(l.Entries)]
			for {
				select {
				case <-r.stop:
					return
				case <-time.After(l.Pause):
				}
				i := int(next.Add(1))
				r.one(c, client, l, entry, fmt.Sprintf("%s-%d", prefix, i), i)
			}
		}()
	}
	return r
}

func (r *Running) one(c *Cluster, client *http.Client, l Load, entry int, key string, i int) {
	body := key
	if l.Body != nil {
		body = key + l.Body(i)
	}
	headers := append([]string{"Call-Key", key}, l.Headers...)
	at := time.Now()
	reply := Send(client, l.Method, fmt.Sprintf("http://%s%s", c.Entries[entry].Callers, l.Path), body, headers...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent = append(r.sent, Sent{Reply: reply, Key: key, Sent: body, At: at})
}

// Stop ends the load and returns what was sent.
func (r *Running) Stop() []Sent {
	close(r.stop)
	r.wg.Wait()
	return r.sent
}

// Tally counts replies by verdict; a request without a reply counts as "error".
func Tally(sent []Sent) map[string]int {
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

// CheckCalls fails where an answer is not the whole answer to its own request, a
// request that was refused as not run did run, or one that is not idempotent ran
// more than once.
func (c *Cluster) CheckCalls(sent []Sent) {
	GinkgoHelper()
	executed := c.Executed()
	for _, s := range sent {
		n := executed[s.Key]
		if s.Err == nil && s.Verdict == "Answered" {
			Expect(s.Body == s.Sent).To(BeTrue(), "%s got %.60q", s.Key, s.Body)
			Expect(n).To(BeNumerically(">=", 1), "%s was answered and not executed", s.Key)
		}
		if s.Verdict == "NotRun" {
			Expect(n).To(BeZero(), "%s was refused as NotRun and ran: %s", s.Key, strings.TrimSpace(s.Body))
		}
		Expect(n).To(BeNumerically("<=", 1), "%s ran %d times", s.Key, n)
	}
}
