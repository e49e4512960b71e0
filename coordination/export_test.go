// Accessors for the package's external tests.

package coordination

// SnapshotsSent returns the number of full snapshots that this core has sent to other replicas.

func (c *Core) SnapshotsSent() uint64 { return c.snapshotsSent.Load() }
