// This file generates a site's configuration as its operators would write it.

package standin

import (
	"encoding/json"
	"fmt"

	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
)

// Cache blocks, tokens per block and weights of every stand-in worker.
const (
	SiteCapacity  = 2048
	SiteBlockSize = 16
	SiteWeights   = "w1"
)

// WorkerIDs returns the IDs of a site's workers: first the prefill workers, then the decode workers.
func (s Site) WorkerIDs() []ids.WorkerID {
	var out []ids.WorkerID
	for i := range s.PrefillWorkers + s.DecodeWorkers {
		out = append(out, s.WorkerID(i))
	}
	return out
}

// WorkerID returns the ID of the i-th worker.
func (s Site) WorkerID(i int) ids.WorkerID {
	if i < s.PrefillWorkers {
		return ids.WorkerID(fmt.Sprintf("p%d", i+1))
	}
	return ids.WorkerID(fmt.Sprintf("d%d", i-s.PrefillWorkers+1))
}

// Worker returns the configuration entry of the i-th worker. The workers of a role are assigned to the zones
// round-robin.
func (s Site) Worker(i int) fleetstate.Worker {
	role := ids.Prefill
	index := i
	if i >= s.PrefillWorkers {
		role, index = ids.Decode, i-s.PrefillWorkers
	}
	return fleetstate.Worker{
		Role:      role,
		Model:     s.Model,
		Weights:   SiteWeights,
		Adapters:  []string{},
		Capacity:  SiteCapacity,
		BlockSize: SiteBlockSize,
		Zone:      s.Zones[index%len(s.Zones)],
	}
}

// Policy returns the complete configuration as JSON text.
func (s Site) Policy(programs map[string]fleetstate.Program) string {
	workers := map[ids.WorkerID]fleetstate.Worker{}
	for i, id := range s.WorkerIDs() {
		workers[id] = s.Worker(i)
	}
	kinds := map[string]any{}
	for _, class := range s.Classes {
		kinds[class.Kind] = map[string]any{"claimed": class.KeyRequired, "model": s.Model, "maxTokens": 64, "weight": 1}
	}
	if programs == nil {
		programs = map[string]fleetstate.Program{}
	}
	b, err := json.MarshalIndent(map[string]any{
		"zones":    s.Zones,
		"workers":  workers,
		"kinds":    kinds,
		"programs": programs,
	}, "", "  ")
	if err != nil {
		panic(err)
	}
	return string(b)
}
