package cfdriver

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"
)

// Reply is what a caller got.
type Reply struct {
	Status  int
	Verdict string
	Body    string
	Header  http.Header
	Err     error
	Took    time.Duration
}

// Call sends one request through an entry.
func (c *Cluster) Call(entry int, method, path, body string, headers ...string) Reply {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 30 * time.Second}
	return Send(client, method, fmt.Sprintf("http://%s%s", c.Entries[entry].Callers, path), body, headers...)
}

// Send sends one request.
func Send(client *http.Client, method, url, body string, headers ...string) Reply {
	began := time.Now()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return Reply{Err: err}
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := client.Do(req)
	if err != nil {
		return Reply{Err: err, Took: time.Since(began)}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return Reply{
		Status: resp.StatusCode, Verdict: resp.Header.Get("Cranberryford-Verdict"), Body: string(data),
		Header: resp.Header, Err: err, Took: time.Since(began),
	}
}

// MaxOpen returns the most calls that executed in one target of a VM at once.
func (c *Cluster) MaxOpen(v *VMProc) int {
	var n int
	c.get(fmt.Sprintf("http://%s/max-open", v.addr), &n)
	return n
}

// TargetsOf returns where the targets of a VM answer.
func (c *Cluster) TargetsOf(v *VMProc) []netip.AddrPort {
	var out []netip.AddrPort
	c.get(fmt.Sprintf("http://%s/targets", v.addr), &out)
	return out
}
