// Command fleet is the stand-in world of the review's scripts: it starts the project's programs with the
// commands of the deploy file, plays platform, workers, clients and operator on loopback addresses, and
// checks one rule. Usage: fleet CASE RECORD. TROUBLE=0 leaves the disruption out.
package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	ruleHeld    = 0
	ruleBroken  = 1
	couldNotRun = 2
)

// maxDuration ends a case that does not end by itself.
const maxDuration = 110 * time.Second

//go:embed names.json
var namesText []byte

// names are the words of the platform's protocol.
var names map[string]string

// cases are the cases by name.
var cases = map[string]func(*fleet) (int, error){
	"pinned":       pinnedCase,
	"founding":     foundingCase,
	"slow-worker":  slowWorkerCase,
	"large-bodies": largeBodiesCase,
	"lengthless":   lengthlessCase,
}

func main() {
	if len(os.Args) == 4 && os.Args[1] == "worker" {
		if err := json.Unmarshal(namesText, &names); err != nil {
			os.Exit(couldNotRun)
		}
		os.Exit(runLengthlessWorker(os.Args[2], os.Args[3]))
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: fleet CASE RECORD")
		os.Exit(couldNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play runs one case and returns the exit code.
func play(name, path string) int {
	if err := json.Unmarshal(namesText, &names); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	f, err := newFleet(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	defer f.end()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	type result struct {
		code int
		err  error
	}
	done := make(chan result, 1)
	go func() {
		code, err := cases[name](f)
		done <- result{code, err}
	}()
	select {
	case r := <-done:
		if r.err != nil {
			f.log("could not run: %v", r.err)
			return couldNotRun
		}
		f.log("exit code %d", r.code)
		return r.code
	case <-stopped:
		f.log("stopped")
	case <-time.After(maxDuration):
		f.log("it took too long")
	}
	return couldNotRun
}

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, start: time.Now()}, err
}

// log writes one line with the time since the start.
func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// troubled reports whether the disruption takes place.
func troubled() bool { return os.Getenv("TROUBLE") != "0" }
