// What tests of other packages see of a core's inside.

package coordination

// SnapshotsSent counts the whole states that this core has sent to others.
func (c *Core) SnapshotsSent() uint64 { return c.snapshotsSent.Load() }
