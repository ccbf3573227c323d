package archive

import (
	"fmt"

	"amberdeal.example/amberdeal/internal/jobblock"
	"amberdeal.example/amberdeal/internal/store"
)

// lastBlockKey is the key of the block that no other follows: it sorts after every id.
const lastBlockKey = "~"

// Block is a block of the archive as it is stored, without its jobs being decoded.
type Block struct {
	To      string // the first key that it does not cover, and its own key
	From    string // the first key that it covers
	Version uint64 // 0 for one that is not written yet
	Record  jobblock.Record
}

func (b *Block) covers(key string) bool { return b.From <= key && key < b.To }

// unpack decodes a block; one that was never written is empty.
func (b *Block) unpack() (*jobblock.Block, error) {
	if b.Version == 0 {
		return &jobblock.Block{}, nil
	}
	blk, err := b.Record.Unpack()
	if err != nil {
		return nil, fmt.Errorf("%s%s: %w", store.ArchivePrefix, b.To, err)
	}
	return blk, nil
}
