// A trial is one script against one site under one seed, with its verdict.

package proof

import (
	"fmt"
	"math/rand/v2"
	"time"

	"keelstair.example/door"
	"keelstair.example/guise"
)

// Verdict of a trial.
type Verdict struct {
	Faults []Fault
	Sum    guise.Summary
	Back   time.Duration
	Again  int
	Left   []time.Duration // leaving workers' last new work
	Out    []time.Duration // the same in emptied zones
	Laws   []time.Duration // applies, until in force
	Old    time.Duration   // orders under an older version
}

// Pace is how much load a trial has, and for how long before and after.
type Pace struct {
	Rate  float64
	First time.Duration
	Then  time.Duration
}

// Trial runs a script. It must be called within a synctest bubble.
func Trial(s Script, site guise.Site, seed uint64, pace Pace) Verdict {
	c := Build(seed, site, s.Tune)
	defer c.Close()
	v := Verdict{}
	if err := c.Found(); err != nil {
		v.Faults = append(v.Faults, Fault{NotBack, err.Error()})
		return v
	}
	r := rand.New(rand.NewPCG(seed, 99))
	span := pace.First
	done := make(chan error, 1)
	begun := time.Now()
	go func() {
		time.Sleep(2 * time.Second)
		done <- s.Run(c, r)
	}()
	all := c.Load(pace.Rate, span, seed)
	err := <-done
	struck := 2 * time.Second
	// After the script the fleet must serve again, whatever happened.
	rest := time.Since(begun)
	all2 := c.Load(pace.Rate, pace.Then, seed+1000)
	for i := range all2 {
		all2[i].At += rest
	}
	all = append(all, all2...)
	if err != nil {
		v.Faults = append(v.Faults, Fault{NotBack, "script: " + err.Error()})
	}
	v.Sum = guise.Sum(all)
	v.Back = Back(all, struck, span)
	if b := Back(all, rest+500*time.Millisecond, rest+pace.Then); b > v.Back {
		v.Back = b
	}
	bound := s.Bound
	if bound == 0 {
		bound = 12 * time.Second
	}
	if v.Back > bound {
		v.Faults = append(v.Faults, Fault{NotBack, fmt.Sprintf("%s without a completed call", v.Back)})
	}
	if n := v.Sum.Ends[door.Complete]; s.Calm && n != len(all) {
		v.Faults = append(v.Faults, Fault{NotBack, fmt.Sprintf("only %d of %d calls completed on a calm day: %v", n, len(all), v.Sum.Details)})
	}
	v.Faults = append(v.Faults, c.Book.Check(all)...)
	v.Faults = append(v.Faults, c.laws()...)
	v.Again = len(c.Book.again)
	v.Left, v.Out, v.Laws, v.Old = c.Book.Late("leave"), c.Book.Late("evacuate"), c.Book.laws, c.Book.FellBack()
	return v
}

// laws holds acknowledged configurations against what the nodes have: each
// version that was acknowledged stands, and the newest of them is in force or
// was followed by a newer one.
func (c *Cluster) laws() []Fault {
	f := &finder{}
	c.Book.mu.Lock()
	acks, marks := c.Book.acks, c.Book.marks
	c.Book.mu.Unlock()
	seen := map[uint64]string{}
	for _, a := range acks {
		if t, ok := seen[uint64(a.Version)]; ok && t != a.Text {
			f.say(LostLaw, "version %d was acknowledged as %s and as %s", a.Version, t, a.Text)
		}
		seen[uint64(a.Version)] = a.Text
	}
	for _, b := range c.Of("verge") {
		if !b.Up || len(acks) == 0 {
			continue
		}
		last := acks[len(acks)-1]
		for _, a := range acks {
			if a.Version > last.Version {
				last = a
			}
		}
		if !c.Until(5*time.Second, func() bool { return b.Node.Show().Version >= uint64(last.Version) }) {
			f.say(LostLaw, "%s has version %d, version %d was acknowledged", b.Name, b.Node.Show().Version, last.Version)
			continue
		}
		s := b.Node.View().Sight()
		if want := fmt.Sprint(s.Policy.Limits.RetryAfterMs); uint64(s.Version) == uint64(last.Version) && want != last.Text {
			f.say(LostLaw, "%s has %s in version %d, %s was acknowledged", b.Name, want, s.Version, last.Text)
		}
	}
	for _, m := range marks {
		if m.What == "slow-apply" {
			f.say(SlowLaw, "%s", m.Name)
		}
	}
	return f.out
}
