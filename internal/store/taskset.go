package store

import (
	"encoding/base64"
	"math/bits"
)

// BlockTasks is how many tasks share a progress record: few enough that its
// bits fit a slot of the smallest value that settings may allow (1 KiB).
const BlockTasks = 1024

// Bits marks the finished tasks of a job.
type Bits struct {
	words []uint64
	count int
}

// NewBits has room for n tasks.
func NewBits(n int) *Bits { return &Bits{words: make([]uint64, (n+63)/64)} }

// Has reports whether task i is marked.
func (b *Bits) Has(i int) bool { return i/64 < len(b.words) && b.words[i/64]>>(i%64)&1 == 1 }

// Set marks task i and reports whether that is new.
func (b *Bits) Set(i int) bool {
	if i/64 >= len(b.words) {
		b.words = append(b.words, make([]uint64, i/64+1-len(b.words))...)
	}
	if b.Has(i) {
		return false
	}
	b.words[i/64] |= 1 << (i % 64)
	b.count++
	return true
}

// Count tells how many are marked.
func (b *Bits) Count() int { return b.count }

// Beyond lists what b marks and other does not.
func (b *Bits) Beyond(other *Bits) []int {
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

// Block gives the text form of one block.
func (b *Bits) Block(n int) string {
	const perBlock = BlockTasks / 64
	var out []byte
	for i := n * perBlock; i < min((n+1)*perBlock, len(b.words)); i++ {
		for s := 0; s < 64; s += 8 {
			out = append(out, byte(b.words[i]>>s))
		}
	}
	return base64.RawStdEncoding.EncodeToString(out)
}

// Merge marks what the text form of a block marks.
func (b *Bits) Merge(n int, text string) {
	raw, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil || len(raw) > BlockTasks/8 {
		return
	}
	for i, c := range raw {
		for s := range 8 {
			if c>>s&1 == 1 {
				b.Set(n*BlockTasks + i*8 + s)
			}
		}
	}
}
