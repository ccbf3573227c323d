package store

import (
	"encoding/base64"
	"math/bits"
)

// TasksPerBlock is how many tasks share a progress record: few enough that its
// bits fit a slot of the smallest value that settings may allow (1 KiB).
const TasksPerBlock = 1024

// TaskSet marks the finished tasks of a job.
type TaskSet struct {
	words []uint64
	count int
}

// NewTaskSet has room for n tasks.
func NewTaskSet(n int) *TaskSet { return &TaskSet{words: make([]uint64, (n+63)/64)} }

// Contains reports whether task i is marked.
func (b *TaskSet) Contains(i int) bool { return i/64 < len(b.words) && b.words[i/64]>>(i%64)&1 == 1 }

// Add marks task i and reports whether that is new.
func (b *TaskSet) Add(i int) bool {
	if i/64 >= len(b.words) {
		b.words = append(b.words, make([]uint64, i/64+1-len(b.words))...)
	}
	if b.Contains(i) {
		return false
	}
	b.words[i/64] |= 1 << (i % 64)
	b.count++
	return true
}

// Count tells how many are marked.
func (b *TaskSet) Count() int { return b.count }

// Difference lists what b marks and other does not.
func (b *TaskSet) Difference(other *TaskSet) []int {
	var out []int
	for i, w := range b.words {
		if i < len(other.words) {
			w &^= other.words[i]
		}
		for ; w != 0; w &= w - 1 {
			out = append(out, i*64+bits.TrailingZeros64(w))
		}
	}
	return out
}

// EncodeBlock gives the text form of one block.
func (b *TaskSet) EncodeBlock(n int) string {
	const perBlock = TasksPerBlock / 64
	var out []byte
	for i := n * perBlock; i < min((n+1)*perBlock, len(b.words)); i++ {
		for s := 0; s < 64; s += 8 {
			out = append(out, byte(b.words[i]>>s))
		}
	}
	return base64.RawStdEncoding.EncodeToString(out)
}

// MergeBlock marks what the text form of a block marks.
func (b *TaskSet) MergeBlock(n int, text string) {
	raw, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil || len(raw) > TasksPerBlock/8 {
		return
	}
	for i, c := range raw {
		for s := range 8 {
			if c>>s&1 == 1 {
				b.Add(n*TasksPerBlock + i*8 + s)
			}
		}
	}
}
