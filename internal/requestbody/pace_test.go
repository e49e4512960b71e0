package requestbody

import (
	"bytes"
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	paceTimeout    = 8 * time.Second
	paceTestBody   = 128 << 10   // bytes; seven of them leave no room for another large body
	allowedLag     = time.Second // an eighth of paceTimeout
	shortWait      = 100 * time.Millisecond
	bodiesThatFit  = 7
	evenPacePieces = 64
)

// startIdleClient reads a body whose client sends the given number of bytes and then nothing. The error of Read comes
// on the returned channel.
func startIdleClient(t *testing.T, memory *Memory, sent int, length int64) <-chan error {
	idle := newIdleSource()
	t.Cleanup(idle.interrupt)
	src := Source{
		Reader:    io.MultiReader(bytes.NewReader(content(sent)), idle),
		Length:    length,
		Timeout:   paceTimeout,
		Interrupt: idle.interrupt,
	}
	ended := make(chan error, 1)
	go func() {
		_, err := memory.Read(t.Context(), src, 0)
		ended <- err
	}()
	synctest.Wait()
	return ended
}

// requireRunning requires that the reading of a body has not ended.
func requireRunning(t *testing.T, ended <-chan error) {
	t.Helper()
	synctest.Wait()
	require.Empty(t, ended)
}

// TestIdleClientsGiveWay guards against clients that hold the memory until their deadline by stating a length and
// sending nothing.
func TestIdleClientsGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := NewMemory(testLimit)
		slowest := startIdleClient(t, memory, 0, paceTestBody)
		var others []<-chan error
		for range bodiesThatFit - 1 {
			others = append(others, startIdleClient(t, memory, paceTestBody/8, paceTestBody))
		}
		time.Sleep(allowedLag - 2*shortWait)
		_, err := readLarge(t, memory, paceTestBody, shortWait)
		require.ErrorIs(t, err, ErrFull, "the clients may still be in time")
		requireRunning(t, slowest)
		body, err := readLarge(t, memory, paceTestBody, 3*shortWait)
		require.NoError(t, err, "a client falls behind its pace while this body waits")
		require.ErrorIs(t, <-slowest, ErrTooSlow)
		for _, ended := range others {
			requireRunning(t, ended)
		}
		body.Release()
		require.Equal(t, int64((bodiesThatFit-1)*paceTestBody), memory.Held())
	})
}

// TestSilentClientsGiveWayJustBeforeTheEnd guards against clients that hold the memory until their deadline by stopping
// just before the end of their bodies, with a length and without.
func TestSilentClientsGiveWayJustBeforeTheEnd(t *testing.T) {
	for _, length := range []int64{paceTestBody, -1} {
		synctest.Test(t, func(t *testing.T) {
			memory := NewMemory(testLimit)
			var silent []<-chan error
			for range bodiesThatFit {
				silent = append(silent, startIdleClient(t, memory, paceTestBody-1, length))
			}
			for range bodiesThatFit {
				if held, err := readLarge(t, memory, paceTestBody, 0); err == nil {
					defer held.Release()
				}
			}
			body, err := readLarge(t, memory, paceTestBody, allowedLag+shortWait)
			require.NoError(t, err)
			body.Release()
			synctest.Wait()
			given := 0
			for _, ended := range silent {
				if len(ended) > 0 && errors.Is(<-ended, ErrTooSlow) {
					given++
				}
			}
			require.Equal(t, 1, given, "as many as are needed")
		})
	}
}

// TestSlowClientsStayIfTheyAreNotEnough checks that no client is given up where a body would not fit all the same, and
// that a body that fits needs nobody to give way.
func TestSlowClientsStayIfTheyAreNotEnough(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := NewMemory(testLimit)
		held := requireRead(t, memory, 4*paceTestBody)
		idle := startIdleClient(t, memory, 0, paceTestBody)
		time.Sleep(2 * allowedLag)
		requireRead(t, memory, paceTestBody).Release()
		requireRunning(t, idle)
		_, err := readLarge(t, memory, 4*paceTestBody, shortWait)
		require.ErrorIs(t, err, ErrFull)
		requireRunning(t, idle)
		held.Release()
	})
}

// TestIdleClientsGiveWayToSmallBodies guards against small bodies that wait although idle clients could make room for
// them, because that would not be enough for a large body that has waited for longer.
func TestIdleClientsGiveWayToSmallBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := NewMemory(testLimit)
		defer requireRead(t, memory, 800<<10).Release()
		for range 2 {
			defer requireRead(t, memory, smallBody).Release()
		}
		idle := startIdleClient(t, memory, 0, smallBody)
		time.Sleep(2 * allowedLag)
		large := make(chan error)
		go func() {
			_, err := readLarge(t, memory, 500<<10, time.Second)
			large <- err
		}()
		requireRunning(t, idle)
		small, err := readLarge(t, memory, smallBody, shortWait)
		require.NoError(t, err)
		require.ErrorIs(t, <-idle, ErrTooSlow)
		require.ErrorIs(t, <-large, ErrFull)
		small.Release()
	})
}

// TestIdleClientsOfUnknownLengthGiveWay guards against clients that hold the memory by sending a part of a body whose
// length they do not state.
func TestIdleClientsOfUnknownLengthGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := NewMemory(testLimit)
		idle := startIdleClient(t, memory, 600<<10, -1)
		_, err := readLarge(t, memory, 500<<10, shortWait)
		require.ErrorIs(t, err, ErrFull)
		requireRunning(t, idle)
		time.Sleep(paceTimeout + allowedLag)
		requireRead(t, memory, paceTestBody).Release()
		body, err := readLarge(t, memory, 500<<10, shortWait)
		require.NoError(t, err)
		require.ErrorIs(t, <-idle, ErrTooSlow)
		body.Release()
		require.Zero(t, memory.Held())
	})
}

// TestClientsOnPaceKeepTheirMemory guards against slow clients that are given up although they would be in time.
func TestClientsOnPaceKeepTheirMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := NewMemory(testLimit)
		var clients sync.WaitGroup
		for range bodiesThatFit {
			clients.Go(func() {
				reader := &evenReader{rest: content(paceTestBody), pause: paceTimeout / evenPacePieces}
				body, err := memory.Read(t.Context(), Source{
					Reader:    reader,
					Length:    paceTestBody,
					Timeout:   paceTimeout,
					Interrupt: func() { assert.Fail(t, "interrupted") },
				}, 0)
				assert.NoError(t, err)
				body.Release()
			})
		}
		synctest.Wait()
		for range 7 {
			_, err := readLarge(t, memory, paceTestBody, time.Second)
			require.ErrorIs(t, err, ErrFull)
		}
		clients.Wait()
		require.Zero(t, memory.Held())
	})
}

// evenReader delivers a body of paceTestBody bytes in equal pieces, each after a pause.
type evenReader struct {
	rest  []byte
	pause time.Duration
}

func (r *evenReader) Read(p []byte) (int, error) {
	if len(r.rest) == 0 {
		return 0, io.EOF
	}
	time.Sleep(r.pause)
	n := copy(p[:min(len(p), paceTestBody/evenPacePieces)], r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

// TestWaitingCostsNothingWhileClientsAreSlow guards against a node that spends its time looking for slow clients, anew
// for each waiting body whenever bytes come free.
func TestWaitingCostsNothingWhileClientsAreSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := NewMemory(testLimit)
		held := requireRead(t, memory, 800<<10)
		for range 3 {
			defer requireRead(t, memory, smallBody).Release()
		}
		startIdleClient(t, memory, 0, smallBody/4)
		time.Sleep(2 * allowedLag)
		ctx, stop := context.WithCancel(t.Context())
		for range 10 {
			go memory.Read(ctx, bytesSource(content(smallBody), smallBody), time.Hour)
		}
		synctest.Wait()
		require.Len(t, memory.waiters, 10, "the slow client would not make enough room")
		require.Zero(t, testing.AllocsPerRun(100, memory.grant))
		stop()
		synctest.Wait()
		held.Release()
	})
}

// BenchmarkGrantWhileFull measures the search for bodies that fit while slow clients hold the memory and others wait.
func BenchmarkGrantWhileFull(b *testing.B) {
	const slow, waiting = 1000, 1000
	memory := NewMemory(slow * smallBody)
	ctx, stop := context.WithCancel(b.Context())
	idle := newIdleSource()
	src := Source{Reader: idle, Length: smallBody, Timeout: time.Hour, Interrupt: func() {}}
	for range slow {
		go memory.Read(ctx, src, time.Hour)
	}
	for memory.Held() < slow*smallBody {
		time.Sleep(time.Millisecond)
	}
	for range waiting {
		go memory.Read(ctx, Source{Reader: io.LimitReader(idle, 1), Length: smallBody}, time.Hour)
	}
	for waiters := 0; waiters < min(waiting, slow); time.Sleep(time.Millisecond) {
		memory.mu.Lock()
		waiters = len(memory.waiters)
		memory.mu.Unlock()
	}
	for b.Loop() {
		memory.mu.Lock()
		memory.grant()
		memory.mu.Unlock()
	}
	stop()
	idle.interrupt()
}
