package commit

// maxHalvings bounds how often the size of a round is halved. After that, a round holds at most a single entry.
const maxHalvings = 12

// SizeBackoff limits the bytes of a round's entries. Each round whose entries did not fit into the segments that it may
// write halves the limit, and each round whose entries fitted doubles it again.
type SizeBackoff struct{ halvings int }

// Limit returns how many of the free bytes the entries of the next round may use.
func (s *SizeBackoff) Limit(free int) int { return free >> s.halvings }

// Halvings returns how many times the limit is currently halved.
func (s *SizeBackoff) Halvings() int { return s.halvings }

// TooLarge records that the entries of a round did not fit.
func (s *SizeBackoff) TooLarge() { s.halvings = min(s.halvings+1, maxHalvings) }

// Fitted records that the entries of a round fitted.
func (s *SizeBackoff) Fitted() { s.halvings = max(0, s.halvings-1) }
