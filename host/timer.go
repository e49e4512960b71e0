//go:build !race

package host

import "time"

// Timer is a timer that sends the time on its channel C when it expires.
type Timer = time.Timer

// NewTimer starts a timer that expires after d.
func NewTimer(d time.Duration) *Timer { return time.NewTimer(d) }

// Ticker is a ticker that sends the time on its channel C once per period.
type Ticker = time.Ticker

// NewTicker starts a ticker with period d.
func NewTicker(d time.Duration) *Ticker { return time.NewTicker(d) }
