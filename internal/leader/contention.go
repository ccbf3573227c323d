package leader

// contention bounds how many homes of jobs a round is conditional on, by how the last rounds
// fared. Any cancellation of one of these jobs that is written first has the round refused, and
// what it would have written is decided again with all that has come since. While the state
// service is slow, such rounds grow and are refused again and again. So each refusal halves the
// bound, down to a few homes, and each round that is taken doubles it.
type contention struct {
	maxBatches int // homes of a round, 0 while nothing bounds them
}

// minBatches is how many homes a round may always have.
const minBatches = 8

// limit gives how many homes the next round may have, of so many that the store allows.
func (c *contention) limit(allowed int) int {
	if c.maxBatches == 0 {
		return allowed
	}
	return min(c.maxBatches, allowed)
}

// refused takes in that a round with so many homes was refused.
func (c *contention) refused(homes int) { c.maxBatches = max(minBatches, homes/2) }

// unboundedBatches is a bound that is no bound any more.
const unboundedBatches = 1 << 10

// taken takes in that a round was taken.
func (c *contention) taken() {
	if c.maxBatches *= 2; c.maxBatches > unboundedBatches {
		c.maxBatches = 0
	}
}
