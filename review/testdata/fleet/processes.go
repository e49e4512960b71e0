// The project's own programs, as separate processes.

package main

import (
	_ "embed"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

//go:embed settings.txt
var settingsText string

// program is the deploy file's program, from the root of the repository.
const program = "target/keelstair-platform"

var zones = []string{"medeu", "bostandyk", "alatau"}

// machine is one edge machine with a disk: it runs a controller and a router.
type machine struct {
	zone, ip                        string
	front, readiness, control, peer string
	controller, router              *process
}

// process is one started program.
type process struct {
	name     string
	settings string
	role     string
	log      *os.File
	command  *exec.Cmd
	exited   chan struct{}
}

// fleet is everything that a case runs.
type fleet struct {
	*record
	dir      string
	platform *platform
	machines []*machine
	started  []*process
}

func newFleet(path string) (*fleet, error) {
	r, err := newRecord(path)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, dir: dir}
	f.platform, err = newPlatform(f)
	return f, err
}

// end kills all processes by id and removes the temporary folder.
func (f *fleet) end() {
	for _, p := range f.started {
		p.kill()
		p.log.Close()
	}
	os.RemoveAll(f.dir)
	f.file.Close()
}

// freeAddr returns an address of an IP that is free now.
func freeAddr(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// addMachines draws the addresses of one machine a zone.
func (f *fleet) addMachines() error {
	for i, zone := range zones {
		m := &machine{zone: zone, ip: fmt.Sprintf("127.0.31.%d", i+1)}
		for _, addr := range []*string{&m.front, &m.readiness, &m.control, &m.peer} {
			l, err := net.Listen("tcp", m.ip+":0")
			if err != nil {
				return err
			}
			defer l.Close() // only now, so that no address is drawn twice
			*addr = l.Addr().String()
		}
		f.machines = append(f.machines, m)
	}
	return nil
}

// seeds lists the control addresses of all machines.
func (f *fleet) seeds() string {
	var out []string
	for _, m := range f.machines {
		out = append(out, m.control)
	}
	return strings.Join(out, ",")
}

// settingsFile writes the settings file of one role of a machine.
func (f *fleet) settingsFile(m *machine, role, serves, state string) (string, error) {
	_, port, _ := net.SplitHostPort(m.peer)
	first, _ := strconv.Atoi(port)
	text := strings.NewReplacer(
		"{zone}", m.zone, "{role}", role, "{serves}", serves, "{ip}", m.ip, "{front}", m.front,
		"{readiness}", m.readiness, "{control}", m.control, "{peer}", port,
		"{peerLast}", strconv.Itoa(min(65535, first+15)), "{seeds}", f.seeds(), "{state}", state,
		"{platform}", f.platform.addr,
	).Replace(settingsText)
	path := filepath.Join(f.dir, m.zone+"-"+role+".conf")
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// startMachines starts a controller and a router on each machine.
func (f *fleet) startMachines() error {
	if _, err := os.Stat(program); err != nil {
		return err
	}
	if err := f.addMachines(); err != nil {
		return err
	}
	for _, m := range f.machines {
		state := filepath.Join(f.dir, m.zone+"-state")
		settings, err := f.settingsFile(m, "core", "controller", state)
		if err != nil {
			return err
		}
		if m.controller, err = f.newProcess(m.zone+"-controller", settings, "controller"); err != nil {
			return err
		}
		if settings, err = f.settingsFile(m, "node", "edge", ""); err != nil {
			return err
		}
		if m.router, err = f.newProcess(m.zone+"-router", settings, "router"); err != nil {
			return err
		}
	}
	return nil
}

// newProcess starts a program for the first time.
func (f *fleet) newProcess(name, settings, role string) (*process, error) {
	log, err := os.Create(filepath.Join(f.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	p := &process{name: name, settings: settings, role: role, log: log}
	f.started = append(f.started, p)
	return p, f.start(p)
}

// start starts a program, or starts it again.
func (f *fleet) start(p *process) error {
	p.command = exec.Command(program, p.role)
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), names["settingsVariable"] + "=" + p.settings}
	p.command.Stdout, p.command.Stderr = p.log, p.log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.exited = exited
	command := p.command
	f.log("started %s, process %d", p.name, command.Process.Pid)
	go func() {
		err := command.Wait()
		f.log("%s, process %d, ended: %v", p.name, command.Process.Pid, err)
		if err != nil && command.ProcessState.Exited() {
			text, _ := os.ReadFile(p.log.Name())
			f.log("%s: its output ends with: %s", p.name, text[max(0, len(text)-400):])
		}
		close(exited)
	}()
	return nil
}

// kill kills the process by its id and waits for its end.
func (p *process) kill() {
	if p.command == nil || p.command.Process == nil {
		return
	}
	p.command.Process.Kill()
	if p.exited != nil {
		<-p.exited
	}
}

// ready reports whether a router says that it is ready.
func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + m.readiness + "/readiness")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// awaitReady waits until all routers are ready.
func (f *fleet) awaitReady(timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		count := 0
		for _, m := range f.machines {
			if m.ready() {
				count++
			}
		}
		if count == len(f.machines) {
			f.log("all %d routers are ready", count)
			return nil
		}
	}
	return errors.New("the routers did not become ready")
}
