// A process that holds hollow nodes. It says where it can be asked, and ends when its
// input does, so that none outlives the run that started it.

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"runtime"
	"sync"
	"time"

	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/internal/proxy"
	"keelstair.example/rpc"
)

type holdCmd struct {
	Sort  string   `arg:"--sort" default:"relay"`
	Nodes int      `arg:"--nodes"`
	First int      `arg:"--first" help:"number of the first node"`
	Seeds []string `arg:"--seeds"`
	List  string   `arg:"--list" help:"where workers are listed"`
	Turns bool     `arg:"--turns" help:"holders of a service's duty ask its workers"`
	Watch bool     `arg:"--watch" help:"note when versions come in force"`
	Picks int      `arg:"--picks" help:"stand in for so many workers in this process, and pick for requests"`
}

// Stand is what a holding process tells of its nodes.
type Stand struct {
	Nodes   int             `json:"nodes"`
	Least   ids.Version     `json:"least"`   // the oldest version in force at any
	Members [2]int          `json:"members"` // the fewest and the most known at any
	Ready   int             `json:"ready"`
	Flows   map[string]Flow `json:"flows"`
	Heap    uint64          `json:"heap"`    // bytes in use after a collection, if asked
	Stack   uint64          `json:"stack"`   // bytes
	Threads int             `json:"threads"` // of the language's own
	Forces  []Force         `json:"forces"`  // since the last asking
	Doors   []string        `json:"doors"`   // of routers
}

// Force says when a version came in force at one node.
type Force struct {
	Version ids.Version `json:"version"`
	At      int64       `json:"at"` // wall clock, ns
}

type nodeHolder struct {
	meter  *Meter
	call   *rpc.Caller // past the meter
	nodes  []*hollow
	mu     sync.Mutex
	forces []Force
}

// watch notes when versions come in force.
func (h *nodeHolder) watch(ctx context.Context) {
	seen := make([]ids.Version, len(h.nodes))
	for host.Sleep(ctx, 10*time.Millisecond) {
		for i, n := range h.nodes {
			v := n.view.Current().Version
			if v == seen[i] {
				continue
			}
			now := time.Now().UnixNano()
			h.mu.Lock()
			for k := max(seen[i]+1, v-min(v, 500)); k <= v; k++ {
				h.forces = append(h.forces, Force{k, now})
			}
			h.mu.Unlock()
			seen[i] = v
		}
	}
}

func (h *nodeHolder) stand(ctx context.Context, whole, members bool) *Stand {
	s := &Stand{Nodes: len(h.nodes), Flows: h.meter.Flows(), Threads: runtime.NumGoroutine()}
	for i, n := range h.nodes {
		if n.door != "" {
			s.Doors = append(s.Doors, n.door)
		}
		v, m := n.view.Current().Version, 0
		if members {
			m = n.members(ctx, h.call)
		}
		if i == 0 {
			s.Least, s.Members = v, [2]int{m, m}
		}
		s.Least, s.Members[0], s.Members[1] = min(s.Least, v), min(s.Members[0], m), max(s.Members[1], m)
		if n.relay == nil {
			s.Ready++
		} else if ok, _ := n.relay.Ready(); ok {
			s.Ready++
		}
	}
	h.mu.Lock()
	s.Forces, h.forces = h.forces, nil
	h.mu.Unlock()
	if whole {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		s.Heap, s.Stack = m.HeapAlloc, m.StackInuse
	}
	return s
}

func hold(ctx context.Context, c *holdCmd) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		io.Copy(io.Discard, os.Stdin)
		stop()
	}()
	host, err := host.Real("")
	if err != nil {
		return err
	}
	h := &nodeHolder{meter: newMeter(host.Net, c.Seeds), call: rpc.NewCaller(host.Net)}
	defer h.call.Close()
	plain := host.Net
	host.Net = h.meter
	var back proxy.Backend
	if c.Picks > 0 {
		back = &still{list: (&Size{Workers: c.Picks}).workers(nil)}
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := range c.Nodes {
		k := c.First + i
		n, err := raise(ctx, host, c, fmt.Sprintf("hollow-%04d", k), halls[k%len(halls)], back)
		if err != nil {
			stop()
			return err
		}
		h.nodes = append(h.nodes, n)
		wg.Go(func() { n.run(ctx) })
	}
	if c.Watch {
		go h.watch(ctx)
	}
	l, err := plain.Listen("127.0.0.1:0")
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	say := func(w http.ResponseWriter, v any) { json.NewEncoder(w).Encode(v) }
	mux.HandleFunc("GET /stand", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		say(w, h.stand(r.Context(), q.Has("whole"), q.Has("members")))
	})
	mux.HandleFunc("GET /picks", func(w http.ResponseWriter, r *http.Request) {
		n := 0
		fmt.Sscan(r.URL.Query().Get("count"), &n)
		say(w, (&Size{Workers: c.Picks}).pickMany(ctx, h.nodes[0].relay, n))
	})
	fmt.Println(l.Addr())
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	defer context.AfterFunc(ctx, func() { srv.Close() })()
	if err := srv.Serve(l); ctx.Err() == nil {
		return err
	}
	return nil
}
