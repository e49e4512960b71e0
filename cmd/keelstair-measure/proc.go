// What the system tells of a process: processor time, memory, bytes, files, sockets.

package main

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"time"

	"keelstair.example/failure"
)

func procs() int { return runtime.NumCPU() }

// Use is a process's use of the machine up to a moment.
type Use struct {
	At      time.Time
	CPU     time.Duration
	Rss     int64 // bytes
	Read    int64 // bytes by read calls, sockets and files
	Written int64 // bytes by write calls
	Files   int
	Sockets int
}

// hertz is the unit of processor time in /proc, the same on all Linux machines of now.
const hertz = 100

func look(pid int) (Use, error) {
	u := Use{At: time.Now()}
	at := fmt.Sprintf("/proc/%d/", pid)
	stat, err := os.ReadFile(at + "stat")
	if err != nil {
		return u, err
	}
	// The name may hold blanks; the rest follows its last bracket.
	f := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	if len(f) < 22 {
		return u, failure.New(failure.InvalidArgument, "read process", at, "%d fields", len(f))
	}
	var user, sys, pages int64
	fmt.Sscan(f[11], &user)
	fmt.Sscan(f[12], &sys)
	fmt.Sscan(f[21], &pages)
	u.CPU = time.Duration(user+sys) * time.Second / hertz
	u.Rss = pages * int64(os.Getpagesize())
	if io, err := os.ReadFile(at + "io"); err == nil {
		for row := range strings.Lines(string(io)) {
			fmt.Sscanf(row, "rchar: %d", &u.Read)
			fmt.Sscanf(row, "wchar: %d", &u.Written)
		}
	}
	ents, err := os.ReadDir(at + "fd")
	if err != nil {
		return u, err
	}
	for _, e := range ents {
		u.Files++
		if to, err := os.Readlink(at + "fd/" + e.Name()); err == nil && strings.HasPrefix(to, "socket:") {
			u.Sockets++
		}
	}
	return u, nil
}
