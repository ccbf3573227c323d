package archive

// CompactorStats tells what a Folder has done.
type CompactorStats struct {
	Staged, Merged, Writes, FenceAdvances, Refused uint64
	Blocked                                        int // jobs that a block which can't be read holds up
	Conflicting                                    uint64
}

// Stats gives the counts.
func (f *Compactor) Stats() CompactorStats {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stats
}

func (f *Compactor) updateStats(add func(*CompactorStats)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	add(&f.stats)
}
