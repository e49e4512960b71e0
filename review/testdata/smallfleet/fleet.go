// The project's own processes: controllers and routers, started with the commands of the deploy file.

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

var zones = []string{"medeu", "bostandyk", "alatau"}

// ports are alike on all machines.
type ports struct{ front, ready, control, peers int }

// machine is one loopback address with a router, and with a controller if it has a disk.
type machine struct {
	name, ip, zone string
	disk           bool
	router, core   *exec.Cmd
}

// fleet is all machines.
type fleet struct {
	dir, list string
	ports     ports
	tries     int    // of the route to desk
	mode      string // of the route to desk
	machines  []*machine
}

// newFleet lays out the machines: the first of each zone has a disk.
func newFleet(dir, list string, perZone int) (*fleet, error) {
	f := &fleet{dir: dir, list: list}
	for z, zone := range zones {
		for i := range perZone {
			f.machines = append(f.machines, &machine{
				name: fmt.Sprintf("edge-%s-%d", zone, i+1), ip: fmt.Sprintf("127.9.%d.%d", z+1, i+1), zone: zone, disk: i == 0,
			})
		}
	}
	for _, p := range []*int{&f.ports.front, &f.ports.ready, &f.ports.control, &f.ports.peers} {
		port, err := f.freePort()
		if err != nil {
			return nil, err
		}
		*p = port
	}
	return f, nil
}

// freePort returns a port that is free on all machines.
func (f *fleet) freePort() (int, error) {
	for range 50 {
		first, err := net.Listen("tcp", f.machines[0].ip+":0")
		if err != nil {
			return 0, err
		}
		port := first.Addr().(*net.TCPAddr).Port
		first.Close()
		if f.isFree(port) {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no port is free on all machines")
}

func (f *fleet) isFree(port int) bool {
	for _, m := range f.machines {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", m.ip, port))
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}

func (f *fleet) seeds() string {
	var out []string
	for _, m := range f.machines {
		if m.disk {
			out = append(out, fmt.Sprintf("%s:%d", m.ip, f.ports.control))
		}
	}
	return strings.Join(out, ",")
}

// spawn starts one process of a machine.
func (f *fleet) spawn(m *machine, role string, bootstrap bool) (*exec.Cmd, error) {
	state := ""
	if role == "controller" {
		state = filepath.Join(f.dir, m.name)
	}
	path := filepath.Join(f.dir, m.name+"-"+role+".conf")
	settings := fill("settings.txt", "name", m.name, "role", role, "ip", m.ip, "zone", m.zone, "front", f.ports.front,
		"ready", f.ports.ready, "control", f.ports.control, "peers", f.ports.peers, "seeds", f.seeds(),
		"bootstrap", bootstrap, "quorum", m.disk, "state", state, "list", f.list)
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(f.dir, m.name+"-"+role+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command("target/keelstair-platform", role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, words["boot"] + "=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	return cmd, cmd.Start()
}

// start starts all processes.
func (f *fleet) start() error {
	for _, m := range f.machines {
		var err error
		if m.disk {
			if m.core, err = f.spawn(m, "controller", true); err != nil {
				return err
			}
		}
		if m.router, err = f.spawn(m, "router", true); err != nil {
			return err
		}
	}
	return nil
}

// stop ends all processes.
func (f *fleet) stop() {
	for _, m := range f.machines {
		kill(m.router)
		kill(m.core)
	}
}

func kill(cmd *exec.Cmd) {
	if cmd != nil && cmd.Process != nil {
		cmd.Process.Kill()
		cmd.Wait()
	}
}

// put sends a configuration until it is taken.
func (f *fleet) put(name string, base, revision int, limit time.Duration) error {
	client := &http.Client{Timeout: 2 * time.Second}
	last := error(nil)
	document := fill(name, "revision", revision, "tries", f.tries, "mode", f.mode)
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		url := fmt.Sprintf("http://%s:%d/configuration", f.machines[0].ip, f.ports.control)
		request, err := http.NewRequest(http.MethodPut, url, strings.NewReader(document))
		if err != nil {
			return err
		}
		request.Header.Set(words["base"], fmt.Sprint(base))
		request.Header.Set("Content-Type", "application/json")
		response, err := client.Do(request)
		if err != nil {
			last = err
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
		last = fmt.Errorf("status %d", response.StatusCode)
	}
	return fmt.Errorf("the configuration was not taken: %w", last)
}

// awaitReady waits until all routers are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, m := range f.machines {
			response, err := client.Get(fmt.Sprintf("http://%s:%d/readiness", m.ip, f.ports.ready))
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(f.machines) {
			return nil
		}
	}
	return fmt.Errorf("not all routers are ready")
}
