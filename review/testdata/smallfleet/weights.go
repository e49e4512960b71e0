// A release of workers with other weights, and the rule that a route that was added later is served.

package main

import (
	"fmt"
	"io"
	"time"
)

const (
	readers      = 6
	emitters     = 3
	releaseGap   = time.Second
	calmAfter    = 4 * time.Second // over contactMs
	calmFor      = 14 * time.Second
	fewest       = 20   // requests on the later route
	smallestPart = 0.25 // of the share of the first route's requests that are served
)

// startModel starts the model workers.
func startModel() (*modelPool, error) {
	pool := &modelPool{}
	for i := range readers + emitters {
		phase := words["read"]
		if i >= readers {
			phase = words["emit"]
		}
		if _, err := pool.add(fmt.Sprintf("i-model%d", i), zones[i%len(zones)], phase, 1); err != nil {
			return nil, err
		}
	}
	return pool, nil
}

// releaseModel replaces the workers that make tokens by ones with the next weights: the new one starts first, the old
// one drains. It returns when all old ones have ended.
func releaseModel(pool *modelPool, trouble bool, out io.Writer, began time.Time) time.Time {
	time.Sleep(warmUp)
	if trouble {
		for _, old := range pool.list()[readers:] {
			if _, err := pool.add(old.id+"-next", old.zone, words["emit"], 2); err != nil {
				fmt.Fprintln(out, "a worker did not start:", err)
			}
			pool.retire(old)
			fmt.Fprintf(out, "%.1f s: %s is replaced\n", time.Since(began).Seconds(), old.id)
			time.Sleep(releaseGap)
		}
	}
	time.Sleep(drainAndLittle)
	return time.Now()
}

// playWeights plays the release beside an even load and returns whether the rule was broken.
func (s scenario) playWeights(c *crowd, pool *modelPool, trouble bool, began time.Time, out io.Writer) bool {
	end := began.Add(warmUp + emitters*releaseGap + drainAndLittle + calmAfter + calmFor + time.Second)
	c.group.Go(func() { c.run("chat", s.chat, end) })
	c.group.Go(func() { c.run("ruling", s.ruling, end) })
	released := releaseModel(pool, trouble, out, began)
	c.group.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	broken := reportServed(out, began, c.tries, released)
	writeRows(out, began, nil, c.tries)
	return broken
}

// reportServed writes how often both routes were served in the calm time and returns whether the rule was broken.
func reportServed(out io.Writer, began time.Time, tries []*try, from time.Time) bool {
	from = from.Add(calmAfter)
	sent, served := map[string]int{}, map[string]int{}
	answers := map[string]int{}
	for _, t := range tries {
		if t.at.Before(from) || t.at.After(from.Add(calmFor)) {
			continue
		}
		sent[t.service]++
		if t.service == "ruling" {
			answers[t.answer]++
		}
		if t.answer == "200" {
			served[t.service]++
		}
	}
	first := float64(served["chat"]) / float64(max(1, sent["chat"]))
	later := float64(served["ruling"]) / float64(max(1, sent["ruling"]))
	broken := sent["ruling"] >= fewest && later < smallestPart*first
	fmt.Fprintf(out, "calm from %.1f s for %v: first route %d of %d served, later route %d of %d, its answers %v: broken %v\n",
		from.Sub(began).Seconds(), calmFor, served["chat"], sent["chat"], served["ruling"], sent["ruling"], answers, broken)
	return broken
}
