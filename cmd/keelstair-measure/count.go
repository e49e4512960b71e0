// Counting what goes over a node's network: the product's code runs over this network as
// over any other. A request's first write tells its name, so that bytes and requests are
// counted for each kind of message, at the asking and at the answering end.

package main

import (
	"bytes"
	"context"
	"net"
	"slices"
	"strings"
	"sync"

	"keelstair.example/host"
)

// Flow is what went by under one name.
type Flow struct {
	Asked   int64 `json:"asked"`   // requests sent from here
	Served  int64 `json:"served"`  // requests that came here
	In      int64 `json:"in"`      // bytes
	Out     int64 `json:"out"`     // bytes
	Dialled int64 `json:"dialled"` // connections
}

func (f *Flow) add(g Flow, sign int64) {
	f.Asked += sign * g.Asked
	f.Served += sign * g.Served
	f.In += sign * g.In
	f.Out += sign * g.Out
	f.Dialled += sign * g.Dialled
}

// Meter is a host.Net that counts.
type Meter struct {
	host.Net
	mark []string // peers whose flows are kept apart, as name@peer
	mu   sync.Mutex
	flow map[string]Flow
}

func newMeter(n host.Net, mark []string) *Meter {
	return &Meter{Net: n, mark: mark, flow: map[string]Flow{}}
}

func (m *Meter) note(name string, f Flow) {
	m.mu.Lock()
	defer m.mu.Unlock()
	got := m.flow[name]
	got.add(f, 1)
	m.flow[name] = got
}

// Flows is a copy of the counts.
func (m *Meter) Flows() map[string]Flow {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]Flow, len(m.flow))
	for k, f := range m.flow {
		out[k] = f
	}
	return out
}

// Dial connects as the wrapped network does, and counts the connection and what goes over it.
func (m *Meter) Dial(ctx context.Context, addr string) (net.Conn, error) {
	c, err := m.Net.Dial(ctx, addr)
	if err != nil {
		return c, err
	}
	m.note("dial", Flow{Dialled: 1})
	out := &metered{Conn: c, m: m, asks: true}
	if slices.Contains(m.mark, addr) {
		out.peer = "@" + addr
	}
	return out, nil
}

// Listen listens as the wrapped network does, and counts what goes over accepted connections.
func (m *Meter) Listen(addr string) (net.Listener, error) {
	l, err := m.Net.Listen(addr)
	if err != nil {
		return l, err
	}
	return &ear{l, m}, nil
}

type ear struct {
	net.Listener
	m *Meter
}

func (e *ear) Accept() (net.Conn, error) {
	c, err := e.Listener.Accept()
	if err != nil {
		return c, err
	}
	return &metered{Conn: c, m: e.m}, nil
}

type metered struct {
	net.Conn
	m    *Meter
	asks bool
	mu   sync.Mutex
	name string
	peer string
	tail []byte // a server may read the first byte of a request by itself
}

// head gives the name of a request that a block of bytes begins, if it begins one.
func head(p []byte) string {
	for _, verb := range []string{"POST /", "GET /", "PUT /"} {
		if rest, ok := bytes.CutPrefix(p[:min(len(p), 80)], []byte(verb)); ok {
			name, _, _ := strings.Cut(string(rest), " ")
			name, _, _ = strings.Cut(name, "?")
			return name
		}
	}
	return ""
}

func (c *metered) begin(p []byte) (string, int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := head(append(c.tail, p...))
	if c.tail = nil; len(p) == 1 {
		c.tail = bytes.Clone(p)
	}
	if n != "" {
		c.name = n + c.peer
		return c.name, 1
	}
	return c.name, 0
}

func (c *metered) current() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.name
}

func (c *metered) Write(p []byte) (int, error) {
	name, first := c.current(), int64(0)
	if c.asks {
		name, first = c.begin(p)
	}
	n, err := c.Conn.Write(p)
	c.m.note(name, Flow{Out: int64(n), Asked: first})
	return n, err
}

func (c *metered) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	name, first := c.current(), int64(0)
	if !c.asks && n > 0 {
		name, first = c.begin(p[:n])
	}
	c.m.note(name, Flow{In: int64(n), Served: first})
	return n, err
}
