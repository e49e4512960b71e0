package rpc

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// respondSlowly sends a response in small pieces with pauses.
func respondSlowly(s *serverConn, c receivedCall) bool {
	text := s.response(c.text, c.id)
	for i := 0; i < len(text); i += 20 {
		time.Sleep(40 * time.Millisecond)
		s.write(text[i:min(i+20, len(text))])
	}
	return true
}

// respondPartlyThenStall sends all but the end of a response and keeps the connection open.
func respondPartlyThenStall(s *serverConn, c receivedCall) bool {
	text := s.response(c.text, c.id)
	s.write(text[:len(text)-5])
	return neverRespond(s, c)
}

// TestCallUntilSilent checks that a call succeeds while its response keeps arriving, and fails when
// the response stops arriving or never starts.
func TestCallUntilSilent(t *testing.T) {
	server := startFakeServer(t)
	server.behaviors["slow"], server.behaviors["partial"], server.behaviors["silent"] =
		respondSlowly, respondPartlyThenStall, neverRespond
	c := NewCaller(loopback{failWrites: &atomic.Bool{}})
	defer c.Close()
	call := func(text string, first, silence time.Duration) (string, error) {
		got, err := CallUntilSilent[textMessage, textMessage](context.Background(), c, server.addr, "note",
			&textMessage{text}, first, silence)
		if err != nil {
			return "", err
		}
		return got.Text, nil
	}
	const short = 100 * time.Millisecond
	for _, text := range []string{"slow", "immediate"} {
		got, err := call(text, responseTimeout, responseTimeout)
		require.NoError(t, err)
		require.Equal(t, "response to "+text, got)
	}
	_, err := call("partial", time.Second, short)
	require.Error(t, err)
	_, err = call("silent", short, responseTimeout)
	require.Error(t, err)
}

// TestSilenceTimeoutRestartsOnArrival checks that the silence timeout runs from the exact time of
// the last arrival.
func TestSilenceTimeoutRestartsOnArrival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const first, silence, interval = 300 * time.Millisecond, 150 * time.Millisecond, 100 * time.Millisecond
		timeUntilSilent := func(arrivals int) time.Duration {
			p := &progress{start: time.Now()}
			go func() {
				for range arrivals {
					time.Sleep(interval)
					p.recordArrival()
				}
			}()
			p.waitUntilSilent(t.Context(), first, silence)
			return time.Since(p.start)
		}
		require.Equal(t, first, timeUntilSilent(0))
		require.Equal(t, 20*interval+silence, timeUntilSilent(20))
	})
}
