package leader

// resign records that the leader can't go on leading its shard, and why. It decides no more rounds; the next leader of the
// shard, which may be on the same controller, begins with a new fencing token and what the state service holds.
func (l *Leader) resign(reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.resignReason == "" {
		l.resignReason = reason
	}
}

// ResignReason returns why this leader can't go on leading its shard, or "" if it can.
func (l *Leader) ResignReason() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.resignReason
}
