package rpc

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// respondSlowly sends an answer in pieces that come apart.
func respondSlowly(p *serverConn, a receivedCall) bool {
	text := p.response(a.text, a.id)
	for i := 0; i < len(text); i += 20 {
		time.Sleep(40 * time.Millisecond)
		p.write(text[i:min(i+20, len(text))])
	}
	return true
}

// respondPartlyThenStall sends the beginning of an answer and no more.
func respondPartlyThenStall(p *serverConn, a receivedCall) bool {
	text := p.response(a.text, a.id)
	p.write(text[:len(text)-5])
	return neverRespond(p, a)
}

// TestCallUntilSilent: an answer that goes on coming is waited for, one that stops coming is not.
func TestCallUntilSilent(t *testing.T) {
	o := startFakeServer(t)
	o.behaviors["slow"], o.behaviors["half"], o.behaviors["silent"] = respondSlowly, respondPartlyThenStall, neverRespond
	c := NewCaller(loopback{failWrites: &atomic.Bool{}})
	defer c.Close()
	ask := func(text string, first, silence time.Duration) (string, error) {
		got, err := CallUntilSilent[textMessage, textMessage](context.Background(), c, o.addr, "note", &textMessage{text}, first, silence)
		if err != nil {
			return "", err
		}
		return got.Text, nil
	}
	const short = 100 * time.Millisecond
	for _, text := range []string{"slow", "calm"} {
		got, err := ask(text, answeredTimeout, answeredTimeout)
		require.NoError(t, err)
		require.Equal(t, "answer to "+text, got)
	}
	_, err := ask("half", time.Second, short)
	require.Error(t, err)
	_, err = ask("silent", short, answeredTimeout)
	require.Error(t, err)
}

// TestSilenceCountsFromTheLastBytes: the bound is moved on by whatever arrives, to the moment.
func TestSilenceCountsFromTheLastBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const first, silence, gap = 300 * time.Millisecond, 150 * time.Millisecond, 100 * time.Millisecond
		watched := func(pieces int) time.Duration {
			p := &progress{start: time.Now()}
			go func() {
				for range pieces {
					time.Sleep(gap)
					p.recordArrival()
				}
			}()
			p.waitUntilSilent(t.Context(), first, silence)
			return time.Since(p.start)
		}
		require.Equal(t, first, watched(0))
		require.Equal(t, 20*gap+silence, watched(20))
	})
}
