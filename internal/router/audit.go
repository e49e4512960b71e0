// This file keeps the audit records of requests under a regime. The node that serves a request
// collects each step with the certificate that authorized it, appends one row to the audit chain in the
// coordination service before anything runs, and one with the outcome.

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

// recordStep adds a step and the certificate that authorized it to the audit record. It ignores
// steps of requests without a regime, and reservations.
func (t *transport) recordStep(operation string, w ids.WorkerID, id workerclient.ID, serial string) {
	if serial == "" || operation == verbReserve {
		return
	}
	t.auditSteps = append(t.auditSteps, fleetstate.AuditStep{
		Attempt: id.Attempt,
		What:    operation,
		Worker:  string(w),
		Serial:  serial,
		At:      t.node.fleetTime().High,
	})
}

// auditRecord returns the encoded audit row of a request, or nil if no regime governs it.
func (t *transport) auditRecord(request, key, outcome string) []byte {
	if t.regime == "" {
		return nil
	}
	serial, _ := t.node.authorize(t.regime, certification.Subject{Node: t.node.options.Name}, "")
	row, _ := json.Marshal(&fleetstate.AuditRecord{
		Request: request,
		Key:     key,
		Kind:    t.kind,
		Regime:  t.regime,
		Node:    string(t.node.self.Node),
		Serial:  serial,
		Steps:   t.auditSteps,
		Outcome: outcome,
	})
	return row
}

// appendAudit appends a row to the audit chain in the coordination service. Repeating it with
// the same operation id appends the row only once.
func (n *Node) appendAudit(ctx context.Context, op ids.OpID, record []byte) error {
	_, err := n.agent.Submit(ctx, op, fleetstate.AppendAuditKind, coordination.MustMarshal(&fleetstate.AppendAudit{Record: record}))
	return err
}

// auditOp returns the id of the operation that appends one audit row of a request.
func auditOp(request, row string) ids.OpID { return ids.OpID("audit/" + request + "/" + row) }

// recordStart records the start of a request that is under a regime and claims no key, before
// anything is sent to a worker.
func (t *transport) recordStart(ctx context.Context, request string) error {
	if t.regime == "" || t.startRecorded {
		return nil
	}
	callContext, stop := context.WithTimeout(ctx, 1500*time.Millisecond)
	defer stop()
	if err := t.node.appendAudit(
		callContext, auditOp(request, fleetstate.OutcomeBegun), t.auditRecord(request, "", fleetstate.OutcomeBegun),
	); err != nil {
		return t.node.rejectRetryable(http.StatusServiceUnavailable, "core-away", "the request cannot be recorded: %v", err)
	}
	t.startRecorded = true
	return nil
}

// recordEnd records the outcome of a request whose start was recorded. If the coordination
// service is unreachable, the row is kept and submitted again later.
func (t *transport) recordEnd(request string, err error, count int) {
	if !t.startRecorded {
		return
	}
	outcome := api.EndComplete
	switch {
	case err != nil && count > 0:
		outcome = api.EndBroken
	case err != nil:
		outcome = fleetstate.OutcomeNotRun
	}
	pending := unresolvedClaim{op: auditOp(request, "end"), audit: t.auditRecord(request, "", outcome)}
	if !t.node.retryUnresolved(context.Background(), pending) {
		t.node.unresolved.add(pending)
	}
}

// takeoverAuditRecord returns the audit row for a claim that this node resolves on behalf of a
// dead node, or nil if no regime governs the claim.
func (n *Node) takeoverAuditRecord(claim *fleetstate.IdempotencyRecord, outcome string) []byte {
	kind, _, _ := strings.Cut(claim.Key, "/")
	t := &transport{node: n, kind: kind, regime: n.view.Current().Register.RegimeOf(kind)}
	if t.regime == "" {
		return nil
	}
	serial, _ := n.authorize(t.regime, certification.Subject{Worker: claim.Worker}, ids.Decode)
	t.auditSteps = []fleetstate.AuditStep{
		{What: "settled", Worker: string(claim.Worker), Serial: serial, At: n.fleetTime().High},
	}
	return t.auditRecord(RequestIDForKey(claim.Key), claim.Key, outcome)
}

// AuditRows reads up to limit rows of the audit chain, starting at row from.
func (n *Node) AuditRows(ctx context.Context, from, limit int) (*api.AuditPage, error) {
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
	var reply fleetstate.AuditQueryReply
	if _, err := reply.UnmarshalMsg(r.Body); err != nil {
		return nil, failure.As(err, failure.OutcomeUnknown, "read audit", "core")
	}
	out := &api.AuditPage{First: reply.FirstIndex, Count: reply.RowCount, Head: reply.LastHash, Rows: []json.RawMessage{}}
	for _, line := range reply.Lines {
		out.Rows = append(out.Rows, line)
	}
	return out, nil
}
