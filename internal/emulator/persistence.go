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

func (cluster *Cluster) stateFile() string { return filepath.Join(cluster.opt.Dir, "state.cbor") }

// restoreState loads the persisted state, if there is one, and starts to persist the state each second. It does nothing
// unless Options.Persist is set.
func (cluster *Cluster) restoreState() error {
	if !cluster.opt.Persist {
		return nil
	}
	text, err := os.ReadFile(cluster.stateFile())
	switch {
	case errors.Is(err, os.ErrNotExist):
	case err != nil:
		return err
	default:
		var snapshot simulator.StateSnapshot
		if err := wire.Decode(text, &snapshot); err != nil {
			return fmt.Errorf("%s holds no persisted state: %w", cluster.stateFile(), err)
		}
		cluster.state.Resume(snapshot)
		cluster.log.Info("resuming from persisted state", "keys", len(snapshot.Items), "revision", snapshot.Revision)
	}
	cluster.persisting.Go(func() {
		for cluster.ctx.Err() == nil {
			sleep(cluster.ctx, time.Second)
			cluster.persistState()
		}
	})
	return nil
}

// persistState writes the content of the state service to disk.
func (cluster *Cluster) persistState() {
	if err := writeFileAtomic(cluster.stateFile(), wire.Encode(cluster.state.Snapshot())); err != nil {
		cluster.log.Error("persisting the state failed", "error", err)
	}
}
