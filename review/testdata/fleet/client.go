// Stand-in clients: each keeps one connection to one router and sends one request at a time.

package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// call is one request of a client and how it ended.
type call struct {
	id      string
	machine *machine
	kept    bool // it was sent on a connection that had carried a request before
	sent    time.Time
	ended   time.Time
	status  int // 0 without an answer
	header  http.Header
	body    []byte
	events  int   // whole events of a stream
	err     error // why the answer is not complete
}

// client sends requests to one router.
type client struct {
	fleet   *fleet
	machine *machine
	conn    net.Conn
	reader  *bufio.Reader
	used    bool
}

// request describes a request to send.
type request struct {
	id, host, target string
	deadline         time.Duration
	header           []string // further header lines
	body             string
	leaveAfter       int // events after which the client leaves; 0 for never
}

// withID returns the request under the id of another try.
func (r request) withID(id string) request {
	r.id = id
	return r
}

// send sends one request and reads its answer. It connects if there is no open connection.
func (c *client) send(r request) *call {
	out := &call{id: r.id, machine: c.machine, kept: c.used, sent: time.Now()}
	defer func() { out.ended = time.Now() }()
	if c.conn == nil {
		c.conn, out.err = net.DialTimeout("tcp", c.machine.front, time.Second)
		if out.err != nil {
			c.conn = nil
			return out
		}
		c.reader = bufio.NewReader(c.conn)
	}
	c.conn.SetDeadline(time.Now().Add(r.deadline + time.Second))
	var text strings.Builder
	fmt.Fprintf(&text, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n", r.target, r.host,
		names["attempt"], r.id, names["deadline"], r.deadline.Milliseconds(), len(r.body))
	for _, line := range r.header {
		text.WriteString(line + "\r\n")
	}
	text.WriteString("\r\n" + r.body)
	if _, out.err = io.WriteString(c.conn, text.String()); out.err != nil {
		c.close()
		return out
	}
	c.receive(out, r.leaveAfter)
	return out
}

// errLeft ends a call whose client has left on the way.
var errLeft = errors.New("the client has left")

// leavingReader ends with errLeft once a number of events has been read.
type leavingReader struct {
	io.Reader
	read       []byte
	leaveAfter int
}

func (l *leavingReader) Read(p []byte) (int, error) {
	n, err := l.Reader.Read(p)
	l.read = append(l.read, p[:n]...)
	if l.leaveAfter > 0 && countEvents(l.read) >= l.leaveAfter {
		return n, errLeft
	}
	return n, err
}

// countEvents counts the whole events of a stream.
func countEvents(body []byte) int { return bytes.Count(body, []byte("\n\n")) }

// receive reads the answer, or its first events if leaveAfter is not 0.
func (c *client) receive(out *call, leaveAfter int) {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		out.err = err
		c.close()
		return
	}
	out.status, out.header = response.StatusCode, response.Header
	out.body, out.err = io.ReadAll(&leavingReader{Reader: response.Body, leaveAfter: leaveAfter})
	out.events = countEvents(out.body)
	c.used = true
	if out.err != nil || response.Close {
		c.close()
	}
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
	}
	c.conn, c.used = nil, false
}

// describe says how a call ended.
func (o *call) describe() string {
	if o.err == nil {
		return fmt.Sprintf("status %d, %d bytes, complete", o.status, len(o.body))
	}
	return fmt.Sprintf("status %d, %d bytes, not complete: %v", o.status, len(o.body), o.err)
}
