// Package host abstracts the operating system services that a process uses: the
// clock, the network and the disk. This package implements them on a real machine;
// package simulated implements them for tests. All other code uses a Host and never
// calls the operating system for these services directly.
package host

import (
	"context"
	"net"
	"time"

	"golang.org/x/sys/unix"

	"keelstair.example/ids"
)

// Clock reads the clocks of a machine.
type Clock interface {
	// Now returns the monotonic time, which also advances while the machine is suspended.
	Now() ids.Tick
	// Wall returns the time of day, which may jump.
	Wall() time.Time
}

// Net opens and accepts stream connections, addressed by IP address and port.
type Net interface {
	Dial(ctx context.Context, addr string) (net.Conn, error)
	Listen(addr string) (net.Listener, error)
}

// Disk stores small files and logs in one directory. Save and Log.Append return
// only after the written data has been synced.
type Disk interface {
	// Save stores a file and replaces any existing file of that name.
	Save(name string, body []byte) error
	// Load returns the content of a file, or ErrNotExist if there is none.
	Load(name string) ([]byte, error)
	// Create creates an empty log and replaces any existing log of that name.
	Create(name string) (Log, error)
	// Open returns an existing log and its entries, or ErrNotExist if there is none.
	Open(name string) (Log, [][]byte, error)
	// Remove removes a file or log. The removal need not survive a power loss.
	Remove(name string) error
	// List returns the names of all files and logs in alphabetical order.
	List() ([]string, error)
}

// Log is an append-only sequence of entries. Disk.Open returns the entries already stored.
type Log interface {
	Append(entries [][]byte) error
	Close() error
}

// Host bundles the services of a machine. Disk is nil if the process has no disk.
type Host struct {
	Clock Clock
	Net   Net
	Disk  Disk
}

// Sleep waits for d or until ctx is done, and reports whether d elapsed.
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

// Now includes time spent suspended, so that a resumed machine notices the gap.
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

// Real returns the clock and network of this machine, and a disk in dir unless dir is empty.
func Real(dir string) (Host, error) {
	host := Host{Clock: realClock{}, Net: realNet{}}
	if dir == "" {
		return host, nil
	}
	disk, err := OpenDisk(dir)
	host.Disk = disk
	return host, err
}

// ChannelMutex is a mutex that may be held during clock, network and disk operations.
// Waiting for it blocks on a channel, so time in a testing/synctest bubble can advance in the
// meantime, which it can't while a goroutine waits for a sync.Mutex.
type ChannelMutex chan struct{}

// NewChannelMutex returns an unlocked mutex.
func NewChannelMutex() ChannelMutex { return make(ChannelMutex, 1) }

// Lock waits until the mutex is unlocked, and locks it.
func (l ChannelMutex) Lock() { l <- struct{}{} }

// Unlock unlocks the mutex.
func (l ChannelMutex) Unlock() { <-l }
