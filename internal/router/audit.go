// The audit record of governed work at its node: the steps as they are cleared, one row
// at the core before anything runs, and one with the outcome.

package router

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"keelstair.example/coordination"
	"keelstair.example/failure"
	"keelstair.example/ids"
	"keelstair.example/internal/api"
	"keelstair.example/internal/certification"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/workerclient"
)

// recordStep notes a step that was cleared.
func (h *transport) recordStep(verb string, w ids.WorkerID, id workerclient.ID, serial string) {
	if serial == "" || verb == verbReserve {
		return
	}
	h.steps = append(h.steps, fleetstate.AuditStep{
		Attempt:   id.Attempt,
		Operation: verb,
		Worker:    string(w),
		Serial:    serial,
		At:        h.node.clock().High,
	})
}

// record writes the row's text; nothing for work that is not governed.
func (h *transport) record(request, key, outcome string) []byte {
	if h.regime == "" {
		return nil
	}
	serial, _ := h.node.clears(h.regime, certification.Subject{Node: h.node.options.Name}, "")
	b, _ := json.Marshal(&fleetstate.AuditRecord{
		Request: request,
		Key:     key,
		Kind:    h.kind,
		Regime:  h.regime,
		Node:    string(h.node.self.Node),
		Serial:  serial,
		Steps:   h.steps,
		Outcome: outcome,
	})
	return b
}

// audit adds a row to the core's chain. The operation's id has it stand there once.
func (n *Node) audit(ctx context.Context, op ids.OpID, record []byte) error {
	_, err := n.agent.Submit(ctx, op, fleetstate.AppendAuditKind, coordination.MustMarshal(&fleetstate.AppendAudit{Record: record}))
	return err
}

func auditOp(request, what string) ids.OpID { return ids.OpID("audit/" + request + "/" + what) }

// begin records governed work that claims no key, before anything is sent to a worker.
func (h *transport) begin(ctx context.Context, request string) error {
	if h.regime == "" || h.begun {
		return nil
	}
	callContext, stop := context.WithTimeout(ctx, 1500*time.Millisecond)
	defer stop()
	if err := h.node.audit(
		callContext, auditOp(request, fleetstate.OutcomeBegun), h.record(request, "", fleetstate.OutcomeBegun),
	); err != nil {
		return h.node.later(http.StatusServiceUnavailable, "core-away", "the request cannot be recorded: %v", err)
	}
	h.begun = true
	return nil
}

// end records the outcome; where the core is away it is owed.
func (h *transport) end(request string, err error, count int) {
	if !h.begun {
		return
	}
	outcome := api.Complete
	switch {
	case err != nil && count > 0:
		outcome = api.Broken
	case err != nil:
		outcome = fleetstate.OutcomeNotRun
	}
	d := unresolvedClaim{op: auditOp(request, "end"), audit: h.record(request, "", outcome)}
	if !h.node.resolveClaim(context.Background(), d) {
		h.node.unresolved.add(d)
	}
}

// takenOver is the record of an idempotency record that is settled for a node that died.
func (n *Node) takenOver(d *fleetstate.IdempotencyRecord, fate string) []byte {
	kind, _, _ := strings.Cut(d.Key, "/")
	h := &transport{node: n, kind: kind, regime: n.view.Current().Register.Governs(kind)}
	if h.regime == "" {
		return nil
	}
	serial, _ := n.clears(h.regime, certification.Subject{Worker: d.Worker}, ids.Decode)
	h.steps = []fleetstate.AuditStep{{Operation: "settled", Worker: string(d.Worker), Serial: serial, At: n.clock().High}}
	return h.record(Request(d.Key), d.Key, fate)
}

// Audits reads the core's chain.
func (n *Node) Audits(ctx context.Context, from, limit int) (*api.Audits, error) {
	callContext, stop := context.WithTimeout(ctx, 5*time.Second)
	defer stop()
	r, err := n.agent.Submit(
		callContext,
		"",
		fleetstate.AuditQueryKind,
		coordination.MustMarshal(&fleetstate.AuditQuery{
			From:  from,
			Limit: limit,
		}),
	)
	if err != nil {
		return nil, n.outcomeOf(err)
	}
	var got fleetstate.AuditQueryReply
	if _, err := got.UnmarshalMsg(r.Body); err != nil {
		return nil, failure.As(err, failure.OutcomeUnknown, "read audit", "core")
	}
	out := &api.Audits{First: got.FirstIndex, Count: got.RowCount, Head: got.LastHash, Rows: []json.RawMessage{}}
	for _, l := range got.Lines {
		out.Rows = append(out.Rows, l)
	}
	return out, nil
}
