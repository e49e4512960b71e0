// What a node learns of how long the workers of a service take.

package proxy

import "keelstair.example/internal/silence"

// serviceTimes is what is learned of a service's workers as a whole.
type serviceTimes struct {
	overhead   prefillOverhead
	prefill    silence.Estimate // beyond what is reckoned, until a prompt is read
	firstEvent silence.Estimate // until the first byte of an answer
	nextEvent  silence.Estimate // between bytes of an answer
}

func (n *Node) serviceTimesFor(service string) *serviceTimes {
	if v, ok := n.serviceTimes.Load(service); ok {
		return v.(*serviceTimes)
	}
	v, _ := n.serviceTimes.LoadOrStore(service, &serviceTimes{})
	return v.(*serviceTimes)
}
