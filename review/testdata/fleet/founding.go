// Case: all processes of the core are killed while the system starts for the first time, and come back within a
// second. The system must take its first configuration then, and serve.

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

const (
	foundingRun       = 200 * time.Millisecond // from when all processes of the core listen until they are killed
	foundingDown      = 500 * time.Millisecond // until the killed processes are started again
	foundingOperator  = 45 * time.Second       // for which the operator sends the first configuration
	foundingRequests  = 30                     // at each router, at the end
	foundingDeadline  = 3 * time.Second
	foundingListening = 10 * time.Second
)

// foundingCase returns ruleBroken if no configuration is ever taken and no request is served.
func foundingCase(f *fleet) (int, error) {
	for i := range holdWorkers {
		if _, err := f.startAppWorker(fmt.Sprintf("i-hold%d", i), "reservas-api", zones[i%len(zones)], 24, holdWork); err != nil {
			return couldNotRun, err
		}
	}
	if err := f.startMachines(); err != nil {
		return couldNotRun, err
	}
	if err := f.awaitListening(foundingListening); err != nil {
		return couldNotRun, err
	}
	if troubled() {
		time.Sleep(foundingRun)
		if err := f.killCore(); err != nil {
			return couldNotRun, err
		}
	}
	taken := f.putFirst()
	served := 0
	for i := range foundingRequests {
		for _, m := range f.machines {
			c := &client{fleet: f, machine: m}
			o := c.send(request{
				id: fmt.Sprintf("%s-%d", m.zone, i), host: "hold.example", target: "/hold/desk", deadline: foundingDeadline, body: "desk",
			})
			c.close()
			f.log("client: request %s: %s", o.id, o.describe())
			if o.err == nil && o.status == http.StatusOK && o.header.Get(names["seal"]) != "" {
				served++
			}
		}
	}
	f.log("the first configuration was taken: %v; %d of %d requests served", taken, served, foundingRequests*len(f.machines))
	if !taken && served == 0 {
		return ruleBroken, nil
	}
	return ruleHeld, nil
}

// awaitListening waits until all controllers accept connections.
func (f *fleet) awaitListening(timeout time.Duration) error {
	end := time.Now().Add(timeout)
	for _, m := range f.machines {
		for {
			conn, err := net.DialTimeout("tcp", m.control, time.Second)
			if err == nil {
				conn.Close()
				break
			}
			if time.Now().After(end) {
				return err
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	f.log("all controllers listen")
	return nil
}

// killCore kills all controllers at the same moment and starts them again on their disks. The settings in force
// by then no longer say that the whole system starts for the first time.
func (f *fleet) killCore() error {
	for _, m := range f.machines {
		m.controller.command.Process.Kill()
	}
	for _, m := range f.machines {
		<-m.controller.exited
		text, err := os.ReadFile(m.controller.settings)
		if err != nil {
			return err
		}
		later := strings.Replace(string(text), "bootstrap=true", "bootstrap=false", 1)
		if err := os.WriteFile(m.controller.settings, []byte(later), 0o600); err != nil {
			return err
		}
	}
	time.Sleep(foundingDown)
	for _, m := range f.machines {
		if err := f.start(m.controller); err != nil {
			return err
		}
	}
	return nil
}

// putFirst sends the first configuration to one machine after the other until it is taken, or the time is over. It
// then waits until the routers are ready.
func (f *fleet) putFirst() bool {
	end := time.Now().Add(foundingOperator)
	for i := 0; time.Now().Before(end); i++ {
		status, err := f.put(f.machines[i%len(f.machines)], 0, slowWorkerDocument)
		if err == nil && status == http.StatusOK {
			return f.awaitReady(foundingOperator) == nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}
