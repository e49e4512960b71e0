// Package host holds the three edges at which a process meets its machine: the
// clock, the network and the disk. Real ones stand beside this file; their
// simulated twins live in package simulated. All code above takes a Host and never
// asks the machine itself.
package host

import (
	"context"
	"net"
	"time"

	"golang.org/x/sys/unix"

	"keelstair.example/ids"
)

// Clock tells the time of a machine.
type Clock interface {
	// Now is a steady time in nanoseconds that also counts while the machine sleeps.
	Now() ids.Tick
	// Wall is the time of day, which may step.
	Wall() time.Time
}

// Net is the network of a machine: stream connections by IP address and port.
type Net interface {
	Dial(ctx context.Context, addr string) (net.Conn, error)
	Listen(addr string) (net.Listener, error)
}

// Disk keeps small files and logs under one folder. Save and Append return
// only once what they wrote is synced.
type Disk interface {
	Save(name string, body []byte) error
	Load(name string) ([]byte, error)
	// Create makes an empty log, in place of any of that name.
	Create(name string) (Log, error)
	// Open gives a log that is there and the rows it holds, else ErrNotExist.
	Open(name string) (Log, [][]byte, error)
	Remove(name string) error
	List() ([]string, error)
}

// Log is a row of records; Open gave those it already held.
type Log interface {
	Append(rows [][]byte) error
	Close() error
}

// Host is what a process gets of its machine. Disk is nil where the machine has none.
type Host struct {
	Clock Clock
	Net   Net
	Disk  Disk
}

// Sleep waits for a span or until the context ends; it reports whether the
// whole span went by.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

type realClock struct{}

// Now counts suspension, so that a machine which slept knows it slept.
func (realClock) Now() ids.Tick {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err)
	}
	return ids.Tick(ts.Nano())
}

func (realClock) Wall() time.Time { return time.Now() }

type realNet struct{}

func (realNet) Dial(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: time.Second}
	return d.DialContext(ctx, "tcp", addr)
}

func (realNet) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

// Real gives the machine's own clock and network, and a disk if dir is named.
func Real(dir string) (Host, error) {
	host := Host{Clock: realClock{}, Net: realNet{}}
	if dir == "" {
		return host, nil
	}
	disk, err := OpenDisk(dir)
	host.Disk = disk
	return host, err
}

// ChannelMutex is a lock that may be held across the edges of the machine. Waiting for
// it is waiting on a channel, so simulated time goes on meanwhile.
type ChannelMutex chan struct{}

// NewChannelMutex returns an unlocked mutex.
func NewChannelMutex() ChannelMutex { return make(ChannelMutex, 1) }

// Lock waits until the mutex is free and takes it.
func (l ChannelMutex) Lock() { l <- struct{}{} }

// Unlock frees the mutex.
func (l ChannelMutex) Unlock() { <-l }
