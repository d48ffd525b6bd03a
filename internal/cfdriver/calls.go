package cfdriver

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"
)

// Reply is the response to a caller's request. Err is set if the response is missing or
// incomplete. Took is the time from the start of the request to the end of the response.
type Reply struct {
	Status  int
	Verdict string
	Body    string
	Header  http.Header
	Err     error
	Took    time.Duration
}

// Call sends one request through an entry, on a connection of its own.
func (c *Cluster) Call(entry int, method, path, body string, headers ...string) Reply {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 30 * time.Second}
	return Send(client, method, fmt.Sprintf("http://%s%s", c.Entries[entry].Callers, path), body, headers...)
}

// Send sends one request with the given client. The headers are alternating names and values.
func Send(client *http.Client, method, url, body string, headers ...string) Reply {
	start := time.Now()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return Reply{Err: err}
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := client.Do(req)
	if err != nil {
		return Reply{Err: err, Took: time.Since(start)}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return Reply{
		Status: resp.StatusCode, Verdict: resp.Header.Get("Cranberryford-Verdict"), Body: string(data),
		Header: resp.Header, Err: err, Took: time.Since(start),
	}
}

// MaxInFlight returns the largest number of calls that one target of a VM executed at the
// same time. It returns 0 if the VM does not answer.
func (c *Cluster) MaxInFlight(v *VMProc) int {
	var maxInFlight int
	c.getJSON(fmt.Sprintf("http://%s/max-open", v.addr), &maxInFlight)
	return maxInFlight
}

// TargetsOf returns the addresses of the targets on a VM; nil if the VM does not answer.
func (c *Cluster) TargetsOf(v *VMProc) []netip.AddrPort {
	var addrs []netip.AddrPort
	c.getJSON(fmt.Sprintf("http://%s/targets", v.addr), &addrs)
	return addrs
}
