package archive

import (
	"fmt"

	"amberdeal.example/amberdeal/internal/jobblock"
	"amberdeal.example/amberdeal/internal/store"
)

// lastBlockKey is the key of the last block of the archive. It sorts after the sort key of every
// job id.
const lastBlockKey = "~"

// Block is a stored block of the archive whose jobs have not been decoded. It covers the sort keys
// in [From, To).
type Block struct {
	To      string // exclusive upper bound of the covered sort keys; also the block's own key
	From    string // first sort key that the block covers
	Version uint64 // 0 if the block has not been written yet
	Record  jobblock.Record
}

func (b *Block) covers(key string) bool { return b.From <= key && key < b.To }

// unpack decodes the jobs of the block. A block that was never written has none.
func (b *Block) unpack() (*jobblock.Block, error) {
	if b.Version == 0 {
		return &jobblock.Block{}, nil
	}
	jobs, err := b.Record.Unpack()
	if err != nil {
		return nil, fmt.Errorf("%s%s: %w", store.ArchivePrefix, b.To, err)
	}
	return jobs, nil
}
