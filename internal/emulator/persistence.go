package emulator

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/wire"
)

func (w *Cluster) stateFile() string { return filepath.Join(w.opt.Dir, "state.cbor") }

// restoreState loads a persisted state, and persists this cluster's state from then on.
func (w *Cluster) restoreState() error {
	if !w.opt.Persist {
		return nil
	}
	text, err := os.ReadFile(w.stateFile())
	switch {
	case errors.Is(err, os.ErrNotExist):
	case err != nil:
		return err
	default:
		var k simulator.StateSnapshot
		if err := wire.Decode(text, &k); err != nil {
			return fmt.Errorf("%s is not a kept state: %w", w.stateFile(), err)
		}
		w.state.Resume(k)
		w.log.Info("going on with a kept state", "keys", len(k.Items), "revision", k.Revision)
	}
	go func() {
		for w.ctx.Err() == nil {
			sleep(w.ctx, time.Second)
			w.persistState()
		}
	}()
	return nil
}

// persistState writes the state to disk.
func (w *Cluster) persistState() {
	if err := writeFileAtomic(w.stateFile(), wire.Encode(w.state.Snapshot())); err != nil {
		w.log.Error("the state can't be kept", "error", err)
	}
}
