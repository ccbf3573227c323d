package archive

// CompactorStats are the statistics of a Compactor since its start.
type CompactorStats struct {
	Staged, Merged                 uint64 // jobs moved into recent blocks, and jobs merged into the archive
	Writes, Refused, FenceAdvances uint64 // committed and rejected transactions, and advances of the submission fence
	Blocked                        int    // jobs that wait because their archive block can't be read, at the last merge
	Conflicting                    uint64 // jobs whose final stage would have changed; the first one is kept
}

// Stats returns a copy of the current statistics.
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
