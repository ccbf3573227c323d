package commit

// maxHalvings bounds how small a round may become: the smallest holds a single entry at most.
const maxHalvings = 12

// SizeBackoff halves the bytes of a round's entries after each round whose entries did not fit into
// the segments that it may write, and doubles them again with each that did.
type SizeBackoff struct{ halvings int }

// Limit returns how many bytes of entries the next round may have, of so many that are free.
func (s *SizeBackoff) Limit(free int) int { return free >> s.halvings }

// Halvings returns how often the limit is halved.
func (s *SizeBackoff) Halvings() int { return s.halvings }

// TooLarge records that the entries of a round did not fit.
func (s *SizeBackoff) TooLarge() { s.halvings = min(s.halvings+1, maxHalvings) }

// Fitted records that the entries of a round did.
func (s *SizeBackoff) Fitted() { s.halvings = max(0, s.halvings-1) }
