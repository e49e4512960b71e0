//go:build !race

package host

import "time"

// Timer is a timer whose channel C gets the time once a span went by.
type Timer = time.Timer

// NewTimer starts a timer.
func NewTimer(d time.Duration) *Timer { return time.NewTimer(d) }

// Ticker is a ticker whose channel C gets the time once in each span.
type Ticker = time.Ticker

// NewTicker starts a ticker.
func NewTicker(d time.Duration) *Ticker { return time.NewTicker(d) }
