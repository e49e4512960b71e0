// How often a request may be sent: the attempts that its route allows, and the retry budget that all nodes share.

package proxy

// payRetry counts one more attempt and charges it to the shared retry budget unless it is the first
// or was charged before. It reports whether the attempt may be made.
func (t *exchange) payRetry() bool {
	if t.attemptsMade >= t.maxAttempts() ||
		!t.retryPaid && (t.attemptsMade > 0 || t.failedPrefillUncounted) && !t.node.spendRetry() {
		return false
	}
	t.failedPrefillUncounted, t.retryPaid = false, false
	t.attemptsMade++
	return true
}

// maxAttempts returns how many times this request may be sent. One that was rejected because its
// memory could not be fetched has run nowhere, so it may be sent once more.
func (t *exchange) maxAttempts() int {
	limit := max(1, t.route.MaxAttempts)
	if t.sourceLost {
		limit++
	}
	return limit
}

// Shares of the retry budget that this node uses. The rest is a margin for messages in flight and for
// nodes that are not known yet.
const (
	retryRatioShare     = 0.9
	retryAllowanceShare = 0.8
)

func (n *Node) spendRetry() bool { return n.spendBudgetShare(1) }

// spendHedge charges one hedge, which may use only hedgeBudgetShare of the retry budget.
func (n *Node) spendHedge() bool { return n.spendBudgetShare(hedgeBudgetShare) }

func (n *Node) spendBudgetShare(share float64) bool {
	ratio := share * retryRatioShare * n.options.RetryRatio
	allowance := share * retryAllowanceShare * float64(n.options.RetryAllowance) * n.nodeShare()
	if n.mayBeUncounted() {
		allowance = 0
	}
	return n.budget.Spend(n.now(), ratio, allowance)
}
