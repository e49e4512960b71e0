package host

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestExpiredTimers: many goroutines of one bubble receive from timers that have expired, which
// ended the race detector with time.NewTimer: in three runs of three.
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

// TestTicker: a ticker ticks once in each span, drops what nobody takes, and ends.
func TestTicker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		ticker := NewTicker(time.Second)
		for n := 1; n <= 3; n++ {
			<-ticker.C
			require.Equal(t, time.Duration(n)*time.Second, time.Since(began))
		}
		time.Sleep(10 * time.Second)
		<-ticker.C
		ticker.Stop()
		time.Sleep(10 * time.Second)
		select {
		case <-ticker.C:
			t.Error("it ticked after its end")
		default:
		}
	})
}
