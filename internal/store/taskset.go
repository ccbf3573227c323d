package store

import (
	"encoding/base64"
	"math/bits"
)

const (
	wordBits = 64
	byteBits = 8
	// TasksPerBlock is the number of tasks in a progress record. A block of this size fits into
	// a segment of the smallest size that the settings allow (1 KiB).
	TasksPerBlock = 1024
)

// TaskSet is a set of the tasks of a job, such as those that have finished. It is stored in
// blocks of TasksPerBlock tasks.
type TaskSet struct {
	words []uint64
	count int
}

// NewTaskSet returns an empty set with space for n tasks. The set grows as needed.
func NewTaskSet(n int) *TaskSet {
	return &TaskSet{words: make([]uint64, (n+wordBits-1)/wordBits)}
}

// Contains reports whether task i is in the set.
func (s *TaskSet) Contains(i int) bool {
	return i/wordBits < len(s.words) && s.words[i/wordBits]>>(i%wordBits)&1 == 1
}

// Add adds task i and reports whether it was not in the set before.
func (s *TaskSet) Add(i int) bool {
	if i/wordBits >= len(s.words) {
		s.words = append(s.words, make([]uint64, i/wordBits+1-len(s.words))...)
	}
	if s.Contains(i) {
		return false
	}
	s.words[i/wordBits] |= 1 << (i % wordBits)
	s.count++
	return true
}

// Count returns the number of tasks in the set.
func (s *TaskSet) Count() int { return s.count }

// Difference lists, in order, the tasks that are in s but not in other.
func (s *TaskSet) Difference(other *TaskSet) []int {
	var out []int
	for i, w := range s.words {
		if i < len(other.words) {
			w &^= other.words[i]
		}
		for ; w != 0; w &= w - 1 { // clears the lowest bit
			out = append(out, i*wordBits+bits.TrailingZeros64(w))
		}
	}
	return out
}

// EncodeBlock returns the stored form of the n-th block.
func (s *TaskSet) EncodeBlock(n int) string {
	const wordsPerBlock = TasksPerBlock / wordBits
	var out []byte
	for i := n * wordsPerBlock; i < min((n+1)*wordsPerBlock, len(s.words)); i++ {
		for shift := 0; shift < wordBits; shift += byteBits {
			out = append(out, byte(s.words[i]>>shift))
		}
	}
	return base64.RawStdEncoding.EncodeToString(out)
}

// MergeBlock adds the tasks of the n-th block, given in its stored form. A block that can't be decoded
// adds nothing, so its tasks run again.
func (s *TaskSet) MergeBlock(n int, text string) {
	raw, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil || len(raw) > TasksPerBlock/byteBits {
		return
	}
	for i, c := range raw {
		for bit := range byteBits {
			if c>>bit&1 == 1 {
				s.Add(n*TasksPerBlock + i*byteBits + bit)
			}
		}
	}
}
