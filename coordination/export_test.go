// What tests of other packages see of a core's inside.

package coordination

// WholeCopies counts the whole states that this core has sent to others.
func (c *Core) WholeCopies() uint64 { return c.copies.Load() }
