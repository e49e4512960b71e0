// Stand-ins for clients: each sends requests at an even pace and tries once more, as the pages say.

package main

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// try is one request of a client.
type try struct {
	at      time.Time
	service string
	machine string
	id      string
	answer  string
	ended   time.Time
}

// crowd sends the requests of all clients.
type crowd struct {
	fleet *fleet
	// repeatable tells that a request may run more than once.
	repeatable bool
	change     *change // the change of the configuration; nil without one
	client     *http.Client
	group      sync.WaitGroup
	mu         sync.Mutex
	tries      []*try
	count      int
}

func newCrowd(f *fleet) *crowd {
	return &crowd{fleet: f, repeatable: f.mode == "idempotent", client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}}
}

// deadline is how long a client waits, for all of its tries together.
const deadline = 4 * time.Second

// run sends requests for a service at a rate until the end.
func (c *crowd) run(service string, perSecond float64, end time.Time) {
	for next := time.Now(); next.Before(end); next = next.Add(time.Duration(float64(time.Second) / perSecond)) {
		time.Sleep(time.Until(next))
		c.mu.Lock()
		c.count++
		number := c.count
		c.mu.Unlock()
		c.group.Go(func() { c.call(service, number) })
	}
}

// call sends one request, and once more after a failure that is not its last word.
func (c *crowd) call(service string, number int) {
	until := time.Now().Add(deadline)
	for attempt := range 2 {
		status, retryAfter := c.send(service, fmt.Sprintf("%s-%06d.%d", service, number, attempt), number+attempt, until)
		wait := min(retryAfter, time.Until(until)/3)
		if status == http.StatusOK || !c.repeatable && status != http.StatusServiceUnavailable || time.Until(until) < 100*time.Millisecond {
			return
		}
		time.Sleep(wait)
	}
}

// send makes one try at the router that the client's number leads to.
func (c *crowd) send(service, id string, seed int, until time.Time) (status int, retryAfter time.Duration) {
	hash := fnv.New32a()
	fmt.Fprint(hash, seed)
	m := c.fleet.machines[int(hash.Sum32())%len(c.fleet.machines)]
	t := &try{at: time.Now(), service: service, machine: m.name, id: id}
	c.mu.Lock()
	c.tries = append(c.tries, t)
	c.mu.Unlock()
	defer func() { c.note(t, fmt.Sprint(status)) }()
	ctx, stop := context.WithDeadline(context.Background(), until)
	defer stop()
	url := fmt.Sprintf("http://%s:%d/%s/", m.ip, c.fleet.ports.front, service)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("question"))
	if err != nil {
		return 0, 0
	}
	request.Host = service + ".example"
	request.Header.Set(words["attempt"], id)
	request.Header.Set(words["deadline"], strconv.FormatInt(time.Until(until).Milliseconds(), 10))
	if service == "ruling" {
		setPrompt(request, seed)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return 0, 0
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode == http.StatusOK && !isWhole(service, id, string(body)) {
		return -1, 0
	}
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return response.StatusCode, time.Duration(seconds * float64(time.Second))
}

// setPrompt sets the headers of a request to a model.
func setPrompt(request *http.Request, number int) {
	request.Header.Set(words["model"], "m")
	request.Header.Set(words["counts"], fmt.Sprintf("%d,%d", promptTokens, modelPieces))
	request.Header.Set(words["prefix"], fmt.Sprintf("%x:%d", 1_000_000+number, promptTokens))
}

// isWhole reports whether a body is the whole answer to a request.
func isWhole(service, id, body string) bool {
	if service == "ruling" {
		return strings.Count(body, "id: ") == modelPieces
	}
	return body == "answer to "+id
}

func (c *crowd) note(t *try, answer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.answer, t.ended = answer, time.Now()
}
