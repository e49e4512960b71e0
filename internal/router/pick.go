// This file picks the workers that may serve a role of a request.

package router

import (
	"context"
	"time"

	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/handoff"
	"keelstair.example/internal/routing"
	"keelstair.example/internal/workerclient"
)

const (
	currentVersionTimeout = time.Second           // for a newer version to come into force at this node
	currentVersionPoll    = 20 * time.Millisecond // between two checks of the version in force
)

// Pick returns the workers that may serve a role of the request, in the order in which to try them.
// Workers that are avoided or faulted recently are returned only if there is no other.
func (t *transport) Pick(
	request *routing.PickRequest,
	model workerclient.Model,
	avoided map[ids.WorkerID]bool,
) []handoff.PickedWorker {
	n := t.node
	if !n.awaitCurrentVersion() {
		return nil
	}
	s := n.view.Current()
	t.pickedVersion, t.pickedRole = s.Version, request.Role
	regime := t.currentRegime(s)
	usable := n.usableWorkers(s, regime)
	roles := rolesByWeights(s, usable)
	picked := map[ids.WorkerID]handoff.PickedWorker{}
	var candidates, fallbacks []routing.Candidate
	for id, st := range usable {
		w := s.Configuration.Workers[id]
		if st.Role != request.Role || !roles[w.Weights][ids.Prefill] || !roles[w.Weights][ids.Decode] ||
			!serves(w, model) || !n.hasRoom(s, st, ids.Blocks(request.NeededTokens, st.Block), regime) {
			continue
		}
		picked[id] = handoff.PickedWorker{
			ID: id, Model: modelOf(w), TokensPerBlock: st.Block, Incarnation: st.Incarnation,
		}
		if avoided[id] || n.recentlyFaulted(id) {
			fallbacks = append(fallbacks, t.candidate(w, st))
		} else {
			candidates = append(candidates, t.candidate(w, st))
		}
	}
	if len(candidates) == 0 {
		candidates = fallbacks
	}
	out := make([]handoff.PickedWorker, 0, len(candidates))
	for _, id := range t.programs.Order(request, candidates) {
		out = append(out, picked[id])
	}
	return out
}

// awaitCurrentVersion waits while a newer version is known and not yet in force here, or while this node might not
// have learned of one. It reports whether the version in force is the newest.
func (n *Node) awaitCurrentVersion() bool {
	for deadline := n.now().Add(currentVersionTimeout); !n.versionCurrent(); {
		if !n.now().Before(deadline) || !host.Sleep(context.Background(), currentVersionPoll) {
			return false
		}
	}
	return true
}

// usableWorkers returns the workers that are ready, accept work and are authorized for the requests of a regime.
func (n *Node) usableWorkers(s *fleetstate.Snapshot, regime string) map[ids.WorkerID]WorkerStatus {
	authorized := func(st WorkerStatus) bool {
		if regime == "" {
			return true
		}
		_, err := n.authorizeStep(regime, st.ID, st.Role)
		return err == nil
	}
	usable := map[ids.WorkerID]WorkerStatus{}
	for id, st := range *n.workerStatuses.Load() {
		if _, ok := s.Configuration.Workers[id]; ok && st.Ready && n.acceptsWork(s, id) && authorized(st) {
			usable[id] = st
		}
	}
	return usable
}

// rolesByWeights returns the roles in which model weights have workers. A request needs a prefill and a decode worker
// with the same weights, so weights that lack one of them are of no use.
func rolesByWeights(s *fleetstate.Snapshot, workers map[ids.WorkerID]WorkerStatus) map[string]map[ids.Role]bool {
	roles := map[string]map[ids.Role]bool{}
	for id, st := range workers {
		weights := s.Configuration.Workers[id].Weights
		if roles[weights] == nil {
			roles[weights] = map[ids.Role]bool{}
		}
		roles[weights][st.Role] = true
	}
	return roles
}

// hasRoom reports whether a worker has the concurrency and the memory for one more request. A request without a regime
// leaves free what is kept for regimes.
func (n *Node) hasRoom(s *fleetstate.Snapshot, st WorkerStatus, blocks int, regime string) bool {
	if st.InFlight >= st.MaxConcurrent || st.Free < blocks {
		return false
	}
	return regime != "" || n.fitsWithHeadroom(s, st, blocks)
}

func modelOf(w fleetstate.Worker) workerclient.Model {
	return workerclient.Model{Name: w.Model, Weights: w.Weights, Adapters: w.Adapters}
}

// serves reports whether a worker serves a model. A model without weights means those of any worker.
func serves(w fleetstate.Worker, model workerclient.Model) bool {
	if model.Weights == "" {
		model.Weights = w.Weights
	}
	return modelOf(w).Serves(model)
}

// candidate describes a worker to the routing programs.
func (t *transport) candidate(w fleetstate.Worker, st WorkerStatus) routing.Candidate {
	return routing.Candidate{
		ID:            st.ID,
		Zone:          w.Zone,
		Weights:       w.Weights,
		Adapters:      w.Adapters,
		Free:          st.Free,
		Capacity:      st.Capacity,
		Outstanding:   st.InFlight,
		MaxConcurrent: st.MaxConcurrent,
		Affinity:      routing.Affinity(t.prefix, st.ID),
	}
}
