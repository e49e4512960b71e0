package host

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestExpiredTimers receives from expired timers in many goroutines of one synctest bubble.
// With time.NewTimer this crashed the race detector in three runs of three.
func TestExpiredTimers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var wg sync.WaitGroup
		for range 32 {
			wg.Go(func() {
				for range 5_000 {
					timer := NewTimer(0)
					<-timer.C
					timer.Stop()
				}
			})
		}
		wg.Wait()
	})
}

// TestTicker checks that a ticker ticks once per period, drops ticks that are not received, and
// sends none after Stop.
func TestTicker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		ticker := NewTicker(time.Second)
		for n := 1; n <= 3; n++ {
			<-ticker.C
			require.Equal(t, time.Duration(n)*time.Second, time.Since(start))
		}
		time.Sleep(10 * time.Second)
		<-ticker.C
		ticker.Stop()
		time.Sleep(10 * time.Second)
		select {
		case <-ticker.C:
			t.Error("the ticker ticked after Stop")
		default:
		}
	})
}
