// Response times of a service's workers, as observed by this node.

package proxy

import "keelstair.example/internal/silence"

// serviceTimes holds the times observed over all workers of a service.
type serviceTimes struct {
	overhead   prefillOverhead
	prefill    silence.Estimate // prefill time beyond prefillQuietFactor times the estimate
	firstEvent silence.Estimate // until the first byte of an answer
	nextEvent  silence.Estimate // between bytes of an answer
}

// serviceTimesFor returns the times of a service, and creates them if there are none.
func (n *Node) serviceTimesFor(service string) *serviceTimes {
	if v, ok := n.serviceTimes.Load(service); ok {
		return v.(*serviceTimes)
	}
	v, _ := n.serviceTimes.LoadOrStore(service, &serviceTimes{})
	return v.(*serviceTimes)
}
