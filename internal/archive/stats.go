package archive

// CompactorStats counts what a Compactor has done.
type CompactorStats struct {
	Staged, Merged                 uint64 // jobs moved into recent blocks, and into the archive
	Writes, Refused, FenceAdvances uint64
	Blocked                        int    // jobs that wait because of a block that can't be read
	Conflicting                    uint64 // jobs whose final stage would have changed
}

// Stats returns the counts.
func (c *Compactor) Stats() CompactorStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}

func (c *Compactor) updateStats(update func(*CompactorStats)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	update(&c.stats)
}
