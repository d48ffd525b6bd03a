// Package cfnet provides HTTP transports that connect from a process's own address,
// listeners for its servers, and the graceful shutdown of a server.
package cfnet

import (
	"net"
	"net/http"
	"net/netip"
	"time"
)

// dialTimeout limits the time for opening one connection.
const dialTimeout = 3 * time.Second

// maxConnsPerHost is the maximum number of connections to each host. Further requests wait
// for a free connection. Each of the platform's workers accepts 64 connections and resets any
// further ones. Half of the 64 are left to the worker's other clients.
const maxConnsPerHost = 32

// Transport returns a pool of connections from the address source; the zero value lets the
// system choose.
func Transport(source netip.Addr) *ConnPool {
	d := &net.Dialer{Timeout: dialTimeout}
	if source.IsValid() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))
	}
	return NewConnPool(&http.Transport{DialContext: d.DialContext, MaxConnsPerHost: maxConnsPerHost, MaxIdleConnsPerHost: maxConnsPerHost})
}
