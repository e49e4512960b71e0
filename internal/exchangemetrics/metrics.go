// Package exchangemetrics measures how the time of exchanges is spent. An exchange is one client request and its
// streamed answer, whose parts are called events. The package has a histogram of each step's duration, and a counter
// of exchanges by the cause of missed latency targets: the longest step before a late first event, or a long pause.
// A router node serves these metrics at its metrics endpoint and logs a summary when it stops.
package exchangemetrics

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Cause is the reason why an exchange missed its latency targets or was not completed, or Met if it met the targets.
type Cause string

// The causes. Those for steps of an exchange are in the order of the steps.
const (
	Met          Cause = "met"
	Admission    Cause = "admission"     // the time until a prefill worker was chosen
	PrefillQueue Cause = "prefill_queue" // the time at the prefill worker beyond the expected prefill time
	Prefill      Cause = "prefill"       // the time at the prefill worker up to the expected prefill time
	Transfer     Cause = "transfer"      // from the end of prefill to the first event: KV cache transfer and decode queue
	Pause        Cause = "pause"         // the longest time between two events
	Rejected     Cause = "rejected"      // the node rejected the request
	Aborted      Cause = "aborted"       // the exchange ended without a complete answer
)

// StepDurations holds the durations of the steps of one exchange, 0 for a step that did not happen, and the longest
// time between two events. Transfer is the whole time to the first event if there was no separate prefill.
type StepDurations struct {
	Admission, PrefillQueue, Prefill, Transfer time.Duration
	LongestPause                               time.Duration
}

// FirstEvent returns the time from the request to the first event.
func (t StepDurations) FirstEvent() time.Duration {
	return t.Admission + t.PrefillQueue + t.Prefill + t.Transfer
}

// Targets holds a route's targets for the time to the first event and for the longest time between two events. Zero
// means no target.
type Targets struct{ FirstEvent, Pause time.Duration }

// CauseOf returns the cause by which an exchange with a complete answer missed its targets, or Met. If the first
// event was late, the cause is the longest step before it.
func CauseOf(t StepDurations, targets Targets) Cause {
	if targets.FirstEvent > 0 && t.FirstEvent() > targets.FirstEvent {
		longest, cause := t.Admission, Admission
		for _, step := range []struct {
			duration time.Duration
			cause    Cause
		}{{t.PrefillQueue, PrefillQueue}, {t.Prefill, Prefill}, {t.Transfer, Transfer}} {
			if step.duration > longest {
				longest, cause = step.duration, step.cause
			}
		}
		return cause
	}
	if targets.Pause > 0 && t.LongestPause > targets.Pause {
		return Pause
	}
	return Met
}

// stepBuckets are the upper bounds of the histogram buckets, in seconds.
var stepBuckets = []float64{.005, .01, .025, .05, .1, .2, .4, .8, 1.6, 3.2, 6.4}

// promptSizeBounds are the upper bounds of the prompt size classes, in tokens.
var promptSizeBounds = []int{1 << 10, 4 << 10, 16 << 10}

// promptSizeLabel returns the label of the size class of a prompt.
func promptSizeLabel(tokens int) string {
	for _, bound := range promptSizeBounds {
		if tokens <= bound {
			return fmt.Sprintf("to_%dk", bound>>10)
		}
	}
	return fmt.Sprintf("over_%dk", promptSizeBounds[len(promptSizeBounds)-1]>>10)
}

// Metrics holds the metrics of one node. It is safe for concurrent use.
type Metrics struct {
	registry   *prometheus.Registry
	steps      *prometheus.HistogramVec
	exchanges  *prometheus.CounterVec
	answerEnds *prometheus.CounterVec
}

// New returns metrics in which nothing is counted yet.
func New() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		steps: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "keelstair_exchange_step_seconds",
			Help:    "Duration of the steps of exchanges that had a whole answer.",
			Buckets: stepBuckets,
		}, []string{"step"}),
		exchanges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "keelstair_exchanges_total",
			Help: "Exchanges by service, prompt size and the cause by which they missed their targets.",
		}, []string{"service", "size", "cause"}),
		answerEnds: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "keelstair_answer_ends_total",
			Help: "Answers of workers by what marks the end of their body, and how they ended.",
		}, []string{"framing", "end"}),
	}
	m.registry.MustRegister(m.steps, m.exchanges, m.answerEnds)
	return m
}

// RegisterGauge adds a gauge whose value is read when the metrics are collected.
func (m *Metrics) RegisterGauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

// Observe records the step durations of an exchange with a complete answer, and counts it by its cause.
func (m *Metrics) Observe(service string, prompt int, t StepDurations, targets Targets) {
	for _, step := range []struct {
		cause    Cause
		duration time.Duration
	}{
		{Admission, t.Admission},
		{PrefillQueue, t.PrefillQueue},
		{Prefill, t.Prefill},
		{Transfer, t.Transfer},
		{Pause, t.LongestPause},
	} {
		m.steps.WithLabelValues(string(step.cause)).Observe(step.duration.Seconds())
	}
	m.CountExchange(service, prompt, CauseOf(t, targets))
}

// CountExchange counts an exchange by its cause, without step durations.
func (m *Metrics) CountExchange(service string, prompt int, cause Cause) {
	m.exchanges.WithLabelValues(service, promptSizeLabel(prompt), string(cause)).Inc()
}

// CountAnswerEnd counts a worker's answer by what marks the end of its body, and by how it ended.
func (m *Metrics) CountAnswerEnd(framing, end string) {
	m.answerEnds.WithLabelValues(framing, end).Inc()
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Summary returns one line with the number of exchanges by cause and the mean duration of each step, or the text of
// the error if the metrics cannot be collected.
func (m *Metrics) Summary() string {
	families, err := m.registry.Gather()
	if err != nil {
		return err.Error()
	}
	causes, steps := map[string]float64{}, []string{}
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			labels := metric.GetLabel()
			switch family.GetName() {
			case "keelstair_exchanges_total":
				causes[labels[0].GetValue()] += metric.GetCounter().GetValue()
			case "keelstair_exchange_step_seconds":
				h := metric.GetHistogram()
				mean := 1000 * h.GetSampleSum() / max(1, float64(h.GetSampleCount()))
				steps = append(steps, fmt.Sprintf("%s %.0f ms", labels[0].GetValue(), mean))
			}
		}
	}
	var counts []string
	for cause, n := range causes {
		counts = append(counts, fmt.Sprintf("%s %.0f", cause, n))
	}
	slices.Sort(counts)
	return "exchanges: " + strings.Join(counts, ", ") + "; mean steps: " + strings.Join(steps, ", ")
}
