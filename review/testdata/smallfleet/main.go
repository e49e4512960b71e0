// Command smallfleet plays a small deployment on loopback addresses: the project's controllers and routers as processes, with
// stand-ins for clients, workers, the operator and the platform's list. It checks a rule.
//
// Usage: smallfleet burst|restart|move|roll|weights RECORD
package main

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitBroken  = 1
	exitNotRun  = 2
	warmUp      = 6 * time.Second
	burstLength = 11 * time.Second
	afterBurst  = 4 * time.Second

	killRounds   = 3
	restartGap   = 1800 * time.Millisecond
	restartDelay = 500 * time.Millisecond
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: smallfleet burst|restart|move|roll|weights RECORD")
		os.Exit(exitNotRun)
	}
	record, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	broken, err := play(os.Args[1], os.Getenv("TROUBLE") != "0", io.MultiWriter(record, os.Stdout))
	if err != nil {
		fmt.Fprintln(record, "not run:", err)
		fmt.Println("not run:", err)
		os.Exit(exitNotRun)
	}
	if broken {
		os.Exit(exitBroken)
	}
}

// scenario is one play.
type scenario struct {
	machinesPerZone int
	chat, desk      float64 // requests a second
	ruling          float64 // streams a second on a route that is added later
	burst           float64 // factor on desk
	killed          int     // routers that are killed together, again and again while the burst lasts
	tries           int     // workers that one try may be sent to
	slots           int     // of a worker of desk
	queue           int     // requests that wait at a worker of desk
	work            time.Duration
	roll            bool // a router gets SIGTERM while the burst lasts, and starts again
	move            bool // the route to desk is moved to another service, and its first service is removed
}

// mode is that of the route to desk.
func (s scenario) mode() string {
	if s.move || s.roll {
		return "effectful"
	}
	return "idempotent"
}

// document is the first configuration.
func (s scenario) document() string {
	if s.move {
		return "document-both.json"
	}
	return "document.json"
}

var scenarios = map[string]scenario{
	"burst":   {machinesPerZone: 1, chat: 300, desk: 40, burst: 2, tries: 2, slots: 4, queue: 16, work: 400 * time.Millisecond},
	"move":    {machinesPerZone: 1, desk: 20, tries: 1, slots: 64, queue: 192, work: 1500 * time.Millisecond, move: true},
	"weights": {machinesPerZone: 1, chat: 10, tries: 2, slots: 4, work: 400 * time.Millisecond, ruling: 36},
	"roll":    {machinesPerZone: 1, desk: 16, burst: 2, tries: 1, slots: 4, queue: 16, work: time.Second, roll: true},
	"restart": {machinesPerZone: 2, desk: 12, burst: 2, killed: 3, tries: 4, slots: 2, queue: 0, work: 800 * time.Millisecond},
}

// play runs a scenario and returns whether the rule was broken.
func play(name string, trouble bool, out io.Writer) (bool, error) {
	s, ok := scenarios[name]
	if !ok {
		return false, fmt.Errorf("no scenario %q", name)
	}
	dir, err := os.MkdirTemp("", "smallfleet-")
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(dir)
	books := &book{}
	workers, err := startWorkers(books, s)
	if err != nil {
		return false, err
	}
	pool := &modelPool{}
	if s.ruling > 0 {
		if pool, err = startModel(); err != nil {
			return false, err
		}
	}
	list, err := serveList(workers, pool)
	if err != nil {
		return false, err
	}
	f, err := newFleet(dir, list, s.machinesPerZone)
	if err != nil {
		return false, err
	}
	f.tries, f.mode = s.tries, s.mode()
	defer f.stop()
	stopOnSignal(f)
	if err := prepare(f, s.document()); err != nil {
		return false, err
	}
	if s.ruling > 0 {
		if err := f.put("document-model.json", 7, 9, 5*time.Second); err != nil {
			return false, err
		}
		time.Sleep(applyMax)
	}
	began := time.Now()
	c := newCrowd(f)
	if s.ruling > 0 {
		return s.playWeights(c, pool, trouble, began, out), nil
	}
	s.send(c, trouble, began, out)
	c.group.Wait()
	broken := false
	books.mu.Lock()
	defer books.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.roll {
		broken = reportRolled(out, books.rows, c.tries, c.change)
	}
	if s.move {
		broken = reportLost(out, began, books.rows, c.tries, c.change)
	}
	for _, service := range []string{"chat", "desk"} {
		beyond := report(out, began, books.rows, c.tries, service)
		broken = broken || beyond
	}
	writeRows(out, began, books.rows, c.tries)
	return broken, nil
}

// prepare starts the fleet and waits until it serves.
func prepare(f *fleet, document string) error {
	if err := f.start(); err != nil {
		return err
	}
	if err := f.put(document, 0, 7, 20*time.Second); err != nil {
		return err
	}
	return f.awaitReady(20 * time.Second)
}

// stopOnSignal ends the fleet if this process is ended.
func stopOnSignal(f *fleet) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		f.stop()
		os.Exit(exitNotRun)
	}()
}

// startWorkers starts the workers of both services.
func startWorkers(books *book, s scenario) ([]*worker, error) {
	var out []*worker
	for i := range 6 {
		zone := zones[i%len(zones)]
		out = append(out,
			&worker{id: fmt.Sprintf("i-chat%d", i), service: "chat", zone: zone, capacity: 64, queue: 192, work: 50 * time.Millisecond, book: books},
			&worker{id: fmt.Sprintf("i-desk%d", i), service: "desk", zone: zone, capacity: s.slots, queue: s.queue, work: s.work, unframed: s.move || s.roll, book: books})
	}
	if s.move {
		for i := range 6 {
			out = append(out, &worker{id: fmt.Sprintf("i-next%d", i), service: "desk2", zone: zones[i%len(zones)], capacity: s.slots, queue: s.queue, work: s.work, unframed: true, book: books})
		}
	}
	for i, w := range out {
		if err := w.start(fmt.Sprintf("127.9.9.%d", i+1)); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// send sends the traffic of a scenario: an even load, and more for one service while the burst lasts.
func (s scenario) send(c *crowd, trouble bool, began time.Time, out io.Writer) {
	end := began.Add(warmUp + burstLength + afterBurst)
	if s.chat > 0 {
		c.group.Go(func() { c.run("chat", s.chat, end) })
	}
	c.group.Go(func() { c.run("desk", s.desk, end) })
	if trouble && s.killed > 0 {
		c.group.Go(func() { s.killRouters(c.fleet, out, began) })
	}
	if trouble && s.move {
		c.group.Go(func() { c.change = moveService(c.fleet, out, began) })
	}
	if s.roll {
		c.group.Go(func() { c.change = rollRouter(c.fleet, out, began) })
	}
	if s.burst > 0 && (trouble || s.killed > 0) {
		c.group.Go(func() {
			time.Sleep(warmUp)
			fmt.Fprintf(out, "burst from %.1f s for %v: %v times the requests for desk\n", time.Since(began).Seconds(), burstLength, s.burst)
			c.run("desk", s.desk*(s.burst-1), time.Now().Add(burstLength))
		})
	}
	time.Sleep(time.Until(end))
}

// killRouters kills routers together and starts them again, three times.
func (s scenario) killRouters(f *fleet, out io.Writer, began time.Time) {
	time.Sleep(warmUp)
	for round := range killRounds {
		time.Sleep(restartGap)
		for i := range s.killed {
			m := f.machines[(round*s.killed+i)%len(f.machines)]
			fmt.Fprintf(out, "%.1f s: the router of %s is killed\n", time.Since(began).Seconds(), m.name)
			kill(m.router)
		}
		time.Sleep(restartDelay)
		for i := range s.killed {
			m := f.machines[(round*s.killed+i)%len(f.machines)]
			cmd, err := f.spawn(m, "router", false)
			if err != nil {
				fmt.Fprintln(out, "a router did not start:", err)
				return
			}
			m.router = cmd
		}
	}
}

// writeRows writes what was sent, answered and run.
func writeRows(out io.Writer, began time.Time, rows []*arrival, tries []*try) {
	for _, t := range tries {
		fmt.Fprintf(out, "%.3f sent %s: %s\n", t.at.Sub(began).Seconds(), t.id, t.answer)
	}
	for _, a := range rows {
		fmt.Fprintf(out, "%.3f %s at %s: %s\n", a.at.Sub(began).Seconds(), a.id, a.worker, a.end)
	}
}
