package cfentry

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cranberryford/pkg/cfroute"
	"cranberryford/pkg/cfwire"
)

// HTTP headers of the callers' interface.
const (
	// HeaderVerdict reports whether the request was executed: Answered, NotRun or Unknown.
	HeaderVerdict = "Cranberryford-Verdict"
	// HeaderTimeout is the caller's timeout, such as "1.5s".
	HeaderTimeout = "Cranberryford-Timeout"
	// HeaderReason is the reason why a request was not answered.
	HeaderReason = "Cranberryford-Reason"
	// HeaderRepeated is set on the stored answer of an earlier request with the same
	// idempotency key.
	HeaderRepeated = "Cranberryford-Repeated"
	// HeaderIdempotencyKey is the caller's idempotency key.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// maxKeyBytes is the maximum length of an idempotency key, in bytes.
const maxKeyBytes = 200

// hopHeaders are the hop-by-hop headers, which are not forwarded. See RFC 9110,
// section 7.6.1.
var hopHeaders = [...]string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// addressLimiter limits the number of open requests from each caller address.
type addressLimiter struct {
	limit int
	mu    sync.Mutex
	// open is the number of open requests by address.
	open map[string]int
}

func newAddressLimiter(limit int) *addressLimiter {
	return &addressLimiter{limit: limit, open: map[string]int{}}
}

// acquire counts a new open request. If the address is at the limit, acquire returns false
// and does not count the request.
func (l *addressLimiter) acquire(addr string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open[addr] >= l.limit {
		return false
	}
	l.open[addr]++
	return true
}

// release uncounts a request for which acquire has returned true.
func (l *addressLimiter) release(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[addr]--
	if l.open[addr] == 0 {
		delete(l.open, addr)
	}
}

func (e *Entry) callersHandler() http.Handler { return http.HandlerFunc(e.serveCaller) }

// serveCaller answers a caller's request. The first segment of the path names a service,
// and a target of this service executes the request.
func (e *Entry) serveCaller(w http.ResponseWriter, r *http.Request) {
	if e.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	addr, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		addr = r.RemoteAddr
	}
	if !e.addressLimit.acquire(addr) {
		e.refuse(w, http.StatusTooManyRequests, "too many open requests of this address")
		return
	}
	defer e.addressLimit.release(addr)
	name, path := splitService(r)
	svc := e.router.Service(name)
	if svc == nil {
		e.refuse(w, http.StatusNotFound, "there is no service "+strconv.Quote(name))
		return
	}
	timeout, err := e.callTimeout(r, svc)
	if err != nil {
		e.refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, e.cfg.Limits.MaxBodyBytes))
	if err != nil {
		e.refuseBody(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	call := &cfwire.Call{Service: name, Method: r.Method, Path: path, Header: forwardedHeaders(r), Body: body}
	e.answerCall(ctx, w, svc, call, r.Header.Get(HeaderIdempotencyKey))
}

// splitService returns the name of the requested service, and the path with the query
// that the service's target receives.
func splitService(r *http.Request) (name, path string) {
	rest := strings.TrimPrefix(r.URL.EscapedPath(), "/")
	name, path, _ = strings.Cut(rest, "/")
	path = "/" + path
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return name, path
}

// callTimeout returns the caller's timeout, or the service's timeout if the caller sets
// none.
func (e *Entry) callTimeout(r *http.Request, svc *cfroute.Service) (time.Duration, error) {
	text := r.Header.Get(HeaderTimeout)
	if text == "" {
		return svc.Timeout, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 || d > e.cfg.Limits.MaxTimeout {
		return 0, errors.Newf("%s: %q must be a time with its unit, above 0 and at most %s", HeaderTimeout, text, e.cfg.Limits.MaxTimeout)
	}
	return d, nil
}

// refuseBody refuses a request whose body is too large or cannot be read.
func (e *Entry) refuseBody(w http.ResponseWriter, err error) {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		e.refuse(w, http.StatusRequestEntityTooLarge, "the body is larger than "+strconv.FormatInt(large.Limit, 10)+" bytes")
		return
	}
	e.refuse(w, http.StatusBadRequest, "the body did not come in whole")
}

// forwardedHeaders returns the headers to send to the target: those of the caller without
// the hop-by-hop headers, and X-Forwarded-For and X-Forwarded-Host.
func forwardedHeaders(r *http.Request) http.Header {
	h := r.Header.Clone()
	for _, name := range strings.Split(h.Get("Connection"), ",") {
		h.Del(strings.TrimSpace(name))
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
	h.Set("X-Forwarded-For", r.RemoteAddr)
	h.Set("X-Forwarded-Host", r.Host)
	return h
}

// answerCall executes a call and writes its answer. key is the caller's idempotency key,
// or empty. If there is a key and the call's method is not idempotent, the call runs only
// after the key is claimed on the log.
func (e *Entry) answerCall(ctx context.Context, w http.ResponseWriter, svc *cfroute.Service, call *cfwire.Call, key string) {
	if key == "" || cfroute.Idempotent(call.Method) {
		e.writeAnswer(w, e.router.Do(ctx, svc, call).Answer)
		return
	}
	if len(key) > maxKeyBytes {
		e.refuse(w, http.StatusBadRequest, HeaderIdempotencyKey+": is longer than "+strconv.Itoa(maxKeyBytes)+" bytes")
		return
	}
	e.answerKeyed(ctx, w, svc, call, key)
}

// writeAnswer writes the target's answer, or the reason why there is none.
func (e *Entry) writeAnswer(w http.ResponseWriter, a *cfwire.Answer) {
	e.Scope.Tagged(map[string]string{"verdict": string(a.Verdict)}).Counter("requests").Inc(1)
	if a.Verdict != cfwire.VerdictAnswered {
		e.writeError(w, a)
		return
	}
	h := w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	for _, name := range hopHeaders {
		if name != "Connection" || !e.leaving.Load() {
			h.Del(name)
		}
	}
	if e.leaving.Load() {
		h.Set("Connection", "close")
	}
	h.Set(HeaderVerdict, string(cfwire.VerdictAnswered))
	if len(a.Body) > 0 {
		// The length lets the caller detect a truncated answer.
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// writeError writes the reason why a call has no answer, with the HTTP status that fits the
// verdict.
func (e *Entry) writeError(w http.ResponseWriter, a *cfwire.Answer) {
	status := http.StatusBadGateway
	if a.Verdict == cfwire.VerdictNotRun {
		status = http.StatusServiceUnavailable
		w.Header().Set("Retry-After", "1")
	}
	writeProblem(w, status, a.Verdict, a.Reason)
}

// refuse answers a request that is not sent to any target.
func (e *Entry) refuse(w http.ResponseWriter, status int, reason string) {
	e.Scope.Tagged(map[string]string{"verdict": string(cfwire.VerdictNotRun)}).Counter("requests").Inc(1)
	writeProblem(w, status, cfwire.VerdictNotRun, reason)
}

// writeProblem writes a response that has a verdict and a reason instead of an answer.
func writeProblem(w http.ResponseWriter, status int, v cfwire.Verdict, reason string) {
	w.Header().Set(HeaderVerdict, string(v))
	w.Header().Set(HeaderReason, reason)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, string(v)+": "+reason+"\n")
}
