// The clients of a soak test of streams.

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"keelstair.example/platform/workerstandin"
)

const (
	maxClientAttempts = 3
	splitShare        = 3  // one in so many requests has its prompt read by another worker
	giveUpShare       = 12 // one in so many requests is given up
	slowReadShare     = 20 // one in so many answers is read slowly
	slowReadPause     = 150 * time.Millisecond
)

// streamClient is one client. It resumes cut streams at any router.
type streamClient struct {
	*workerstandin.Client
	soak *streamSoak
	rng  *rand.Rand
}

// sendRequests sends requests of one client until the context ends.
func (s *streamSoak) sendRequests(ctx context.Context, number int) {
	rng := rand.New(rand.NewPCG(s.opt.Seed, uint64(number)+1))
	connections := &workerstandin.Client{Pick: func() string { return s.machines[rng.IntN(len(s.machines))].FrontendAddr }}
	defer connections.Close()
	client := &streamClient{connections, s, rng}
	for n := 0; ctx.Err() == nil; n++ {
		paths := workerstandin.Routes
		if s.opt.Split > 0 && rng.IntN(splitShare) == 0 {
			paths = workerstandin.SplitRoutes
		}
		client.sendUntilWhole(fmt.Sprintf("%d-%d-%d", s.opt.Seed, number, n), paths[rng.IntN(len(paths))])
		time.Sleep(time.Duration(rng.IntN(150)) * time.Millisecond)
	}
}

// sendUntilWhole sends a request, and takes up its stream where it is cut or was given up.
func (c *streamClient) sendUntilWhole(id, path string) {
	keys := workerstandin.TenantKeys
	request := workerstandin.Request{Path: path, Key: keys[c.rng.IntN(len(keys))]}
	for attempt := range maxClientAttempts {
		request.ID = fmt.Sprintf("%s.%d", id, attempt)
		c.drawBehavior(&request)
		sentAt := time.Now()
		o := c.SendRequest(request)
		c.soak.record(&timedOutcome{o, sentAt})
		if !o.MayResume() {
			return
		}
		request.LastEventID = o.ResumeAt()
	}
}

// drawBehavior draws whether the client gives up, and how it reads.
func (c *streamClient) drawBehavior(request *workerstandin.Request) {
	request.GiveUpAfter, request.ReadPause = 0, 0
	if c.rng.IntN(giveUpShare) == 0 {
		request.GiveUpAfter = time.Duration(50+c.rng.IntN(700)) * time.Millisecond
	}
	if c.rng.IntN(slowReadShare) == 0 {
		request.ReadPause = slowReadPause
	}
}

// record adds an outcome to those of the run.
func (s *streamSoak) record(o *timedOutcome) {
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	s.outcomes = append(s.outcomes, o)
}
