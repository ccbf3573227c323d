package leader

// resign records that the leader can't go on leading its shard, and why. It decides no more rounds; the next leader of the
// shard, which may be on the same controller, begins with a new fencing token and what the state service holds.
func (l *Leader) resign(reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resignReason = reason
}

// resignBeforeAttemptsRunOut resigns once the leader has numbered so many attempts that the numbers under its token are
// nearly used up.
func (l *Leader) resignBeforeAttemptsRunOut() {
	if l.attemptSequence >= attemptsPerToken {
		l.resignReason = "the attempts under its token are nearly used up"
	}
}

// ResignReason returns why this leader can't go on leading its shard, or "" if it can.
func (l *Leader) ResignReason() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.resignReason
}
