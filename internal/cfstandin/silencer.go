package cfstandin

import (
	"net"
	"sync"
	"sync/atomic"
)

// Silencer is a listener that can make its open connections silent.
type Silencer struct {
	net.Listener
	mu    sync.Mutex
	conns []*silentConn
}

// Accept implements net.Listener.
func (s *Silencer) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	conn := &silentConn{Conn: c}
	s.conns = append(s.conns, conn)
	return conn, nil
}

// Silence makes all open connections silent. They stay open, and new ones work.
func (s *Silencer) Silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.silent.Store(true)
	}
}

// Accepted returns the number of connections that were accepted so far.
func (s *Silencer) Accepted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// silentConn sends nothing and receives nothing once it is silent.
type silentConn struct {
	net.Conn
	silent atomic.Bool
}

func (c *silentConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

func (c *silentConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}
