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

// idleConns is the number of idle connections kept to each host.
const idleConns = 32

// Transport returns an HTTP transport that connects from source; the zero value
// lets the system choose.
func Transport(source netip.Addr) *http.Transport {
	d := &net.Dialer{Timeout: dialTimeout}
	if source.IsValid() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))
	}
	return &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: idleConns}
}
