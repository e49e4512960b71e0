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
	h.auditSteps = append(h.auditSteps, fleetstate.AuditStep{
		Attempt: id.Attempt,
		What:    verb,
		Worker:  string(w),
		Serial:  serial,
		At:      h.node.fleetTime().High,
	})
}

// auditRecord writes the row's text; nothing for work that is not governed.
func (h *transport) auditRecord(request, key, outcome string) []byte {
	if h.regime == "" {
		return nil
	}
	serial, _ := h.node.clearance(h.regime, certification.Subject{Node: h.node.options.Name}, "")
	b, _ := json.Marshal(&fleetstate.AuditRecord{
		Request: request,
		Key:     key,
		Kind:    h.kind,
		Regime:  h.regime,
		Node:    string(h.node.self.Node),
		Serial:  serial,
		Steps:   h.auditSteps,
		Outcome: outcome,
	})
	return b
}

// appendAudit adds a row to the core's chain. The operation's id has it stand there once.
func (n *Node) appendAudit(ctx context.Context, op ids.OpID, record []byte) error {
	_, err := n.agent.Submit(ctx, op, fleetstate.AuditKind, coordination.MustMarshal(&fleetstate.Audit{Record: record}))
	return err
}

func auditOp(request, what string) ids.OpID { return ids.OpID("audit/" + request + "/" + what) }

// recordStart records governed work that claims no key, before anything is sent to a worker.
func (h *transport) recordStart(ctx context.Context, request string) error {
	if h.regime == "" || h.startRecorded {
		return nil
	}
	callContext, stop := context.WithTimeout(ctx, 1500*time.Millisecond)
	defer stop()
	if err := h.node.appendAudit(
		callContext, auditOp(request, fleetstate.Begun), h.auditRecord(request, "", fleetstate.Begun),
	); err != nil {
		return h.node.rejectRetryable(http.StatusServiceUnavailable, "core-away", "the request cannot be recorded: %v", err)
	}
	h.startRecorded = true
	return nil
}

// recordEnd records the outcome; where the core is away it is owed.
func (h *transport) recordEnd(request string, err error, count int) {
	if !h.startRecorded {
		return
	}
	outcome := api.Complete
	switch {
	case err != nil && count > 0:
		outcome = api.Broken
	case err != nil:
		outcome = fleetstate.NotRun
	}
	d := unresolvedClaim{op: auditOp(request, "end"), audit: h.auditRecord(request, "", outcome)}
	if !h.node.retryUnresolved(context.Background(), d) {
		h.node.unresolved.add(d)
	}
}

// takeoverAuditRecord is the record of an idempotency record that is settled for a node that died.
func (n *Node) takeoverAuditRecord(d *fleetstate.IdempotencyRecord, fate string) []byte {
	kind, _, _ := strings.Cut(d.Key, "/")
	h := &transport{node: n, kind: kind, regime: n.view.Current().Register.Governs(kind)}
	if h.regime == "" {
		return nil
	}
	serial, _ := n.clearance(h.regime, certification.Subject{Worker: d.Worker}, ids.Decode)
	h.auditSteps = []fleetstate.AuditStep{{What: "settled", Worker: string(d.Worker), Serial: serial, At: n.fleetTime().High}}
	return h.auditRecord(RequestIDForKey(d.Key), d.Key, fate)
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
		return nil, n.operatorError(err)
	}
	var got fleetstate.AuditQueryReply
	if _, err := got.UnmarshalMsg(r.Body); err != nil {
		return nil, failure.As(err, failure.OutcomeUnknown, "read audit", "core")
	}
	out := &api.Audits{First: got.First, Count: got.Count, Head: got.Head, Rows: []json.RawMessage{}}
	for _, l := range got.Lines {
		out.Rows = append(out.Rows, l)
	}
	return out, nil
}
