// Package cfnet opens the connections of a process from its own address.
package cfnet

import (
	"net"
	"net/http"
	"net/netip"
	"time"
)

// dialTimeout bounds the opening of one connection.
const dialTimeout = 3 * time.Second

// hostConns is the number of connections to each host; further calls wait for one.
// The platform's workers take 64 and reset those beyond.
const hostConns = 32

// Transport returns an HTTP transport that connects from source; the zero value
// lets the system choose.
func Transport(source netip.Addr) *http.Transport {
	d := &net.Dialer{Timeout: dialTimeout}
	if source.IsValid() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))
	}
	return &http.Transport{DialContext: d.DialContext, MaxConnsPerHost: hostConns, MaxIdleConnsPerHost: hostConns}
}
