// The switcher: one node per pool decides when a worker should change its part.
package verge

import "context"

func (n *Node) switcher(ctx context.Context) { <-ctx.Done() }
