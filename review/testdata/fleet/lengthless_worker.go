// A stand-in worker in a process of its own, whose streams have no length and end with their connection.
// It goes on at the last event that a request names. Usage: fleet worker ID ADDRESS

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"
)

const (
	lengthlessEvents = 12
	lengthlessPace   = 100 * time.Millisecond
)

// runLengthlessWorker serves until the process is ended.
func runLengthlessWorker(id, addr string) int {
	signal.Ignore(syscall.SIGINT)
	l, err := net.Listen("tcp", addr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	for {
		c, err := l.Accept()
		if err != nil {
			return couldNotRun
		}
		go serveLengthless(id, c)
	}
}

// serveLengthless answers the requests of one connection. A stream is the last of its connection.
func serveLengthless(id string, c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		attempt := r.Header.Get(names["attempt"])
		switch {
		case attempt == "":
			body := fmt.Sprintf(`{"phase":"","models":[],"utilisation":false,"sequence":0,"queued":0,"active":0,"%s":0,"%s":0}`,
				names["cacheUsed"], names["cacheCapacity"])
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
				names["workerID"], id, len(body), body)
			continue
		case r.Header.Get(names["expectWorker"]) != id:
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n",
				names["attempt"], attempt, names["workerID"], id)
			continue
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s.%s.%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n",
			names["attempt"], attempt, names["seal"], attempt, id)
		last, _ := strconv.Atoi(r.Header.Get(names["lastEvent"]))
		for n := last + 1; n <= lengthlessEvents; n++ {
			time.Sleep(lengthlessPace)
			if _, err := io.WriteString(c, lengthlessEvent(attempt, n)); err != nil {
				return
			}
		}
		return
	}
}

// lengthlessEvent is one event of the stream of a request.
func lengthlessEvent(attempt string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, attempt, n)
}
