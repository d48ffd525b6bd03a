package cfnet

import (
	"context"
	"net"
	"net/http"
	"net/netip"

	"cranberryford/pkg/cferror"
)

// Kind says why a server did not start.
type Kind string

const (
	// KindListen means that the process cannot listen on the server's address.
	KindListen Kind = "cannot listen"
)

// Error is the error type of this package.
type Error = cferror.Error[Kind]

// Server is one HTTP server of a process.
type Server struct {
	Name string
	// Address is where the server listens; the zero value disables the server.
	Address netip.AddrPort
	Handler http.Handler
	// Listener is set only in the copies that Listen returns.
	Listener net.Listener
}

// Listen opens a listener for each server that has an address. It returns copies of these
// servers with Listener set. The cleanup function closes the listeners.
func Listen(ctx context.Context, servers []Server) ([]Server, func(), error) {
	var out []Server
	cleanup := func() {
		for _, s := range out {
			_ = s.Listener.Close()
		}
	}
	for _, s := range servers {
		if !s.Address.IsValid() {
			continue
		}
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.Address.String())
		if err != nil {
			cleanup()
			return nil, nil, cferror.Wrap("start server "+s.Name, KindListen, err)
		}
		s.Listener = l
		out = append(out, s)
	}
	return out, cleanup, nil
}
