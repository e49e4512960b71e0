package proxy

import (
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLivenessCallBeginsAfterItsQuestion guards against a call from before the worker's death that counts.
func TestLivenessCallBeginsAfterItsQuestion(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		const callDuration = 100 * time.Millisecond
		errDead := errors.New("dead")
		var calls atomic.Int64
		var alive atomic.Bool
		alive.Store(true)
		check := &livenessCheck{}
		call := func() error {
			calls.Add(1)
			answers := alive.Load()
			time.Sleep(callDuration)
			if answers {
				return nil
			}
			return errDead
		}
		first := check.ask(call)
		time.Sleep(callDuration / 2)
		alive.Store(false)
		var later []*livenessCall
		for range 20 {
			later = append(later, check.ask(call))
		}
		<-first.done
		require.NoError(t, first.err)
		for _, c := range later {
			<-c.done
			require.ErrorIs(t, c.err, errDead)
		}
		require.EqualValues(t, 2, calls.Load(), "questions that wait share a call")
		synctest.Wait()
		alive.Store(true)
		again := check.ask(call)
		<-again.done
		require.NoError(t, again.err)
	})
}

// TestAnotherIncarnationIsNotAlive guards against a new process that confirms an answer of the old one.
func TestAnotherIncarnationIsNotAlive(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(newFakeWorkers("svc", "", 2)...)
		f := startFleet(t, 59, 1, platform, defaultConfiguration(), nil)
		defer f.close()
		node, worker := f.nodes[0], platform.worker("svc-0").Worker
		require.NoError(t, node.confirmAlive(t.Context(), &worker, node.state(worker.ID)))
		platform.restartWorker("svc-0")
		require.Error(t, node.confirmAlive(t.Context(), &worker, node.state(worker.ID)))
		started := time.Now()
		frozen := platform.worker("svc-1")
		platform.withLock(func() { frozen.silent = true })
		require.Error(t, node.confirmAlive(t.Context(), &frozen.Worker, node.state(frozen.ID)))
		require.LessOrEqual(t, time.Since(started), livenessTimeout)
	})
}

// TestBusyWorkerIsAlive guards against a whole answer that counts as cut because its worker resets some connections.
func TestBusyWorkerIsAlive(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(newFakeWorkers("svc", "", 1)...)
		f := startFleet(t, 60, 1, platform, defaultConfiguration(), nil)
		defer f.close()
		node, worker := f.nodes[0], platform.worker("svc-0")
		platform.withLock(func() { worker.failingChecks = 3 })
		require.NoError(t, node.confirmAlive(t.Context(), &worker.Worker, node.state(worker.ID)))
	})
}
