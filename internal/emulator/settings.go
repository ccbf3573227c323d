package emulator

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// Settings returns the path of a controller's platform file.
func (w *Cluster) Settings(i int) string {
	return filepath.Join(w.opt.Dir, fmt.Sprintf("c-%d.json", i))
}

// writePlatformFiles writes the platform file of each controller.
func (w *Cluster) writePlatformFiles() error {
	if w.opt.Dir == "" {
		return nil
	}
	errs := []error{os.MkdirAll(w.opt.Dir, 0o755)}
	for i := range w.Config.Controllers {
		text, err := json.MarshalIndent(w.platformFileContent(i), "", "  ")
		errs = append(errs, err, writeFileAtomic(w.Settings(i), text))
	}
	return errors.Join(errs...)
}

// writeFileAtomic replaces a file atomically.
func writeFileAtomic(path string, content []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".part-*")
	if err != nil {
		return err
	}
	_, err = f.Write(content)
	if err = errors.Join(err, f.Close()); err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		_ = os.Remove(f.Name())
	}
	return err
}

// platformFileContent returns the content of a controller's platform file.
func (w *Cluster) platformFileContent(i int) map[string]any {
	c := w.Config
	peers := []any{}
	for k := range c.Controllers {
		if k != i {
			peers = append(peers, map[string]any{"host_name": w.controllerEndpoint(k).name, "location": w.zoneOf(k), "peer_addr": w.addr(w.ports.peerLink(i, k))})
		}
	}
	wk := c.Workers
	return map[string]any{"host_name": w.controllerEndpoint(i).name, "location": w.zoneOf(i), "public_addr": w.Public(i), "mesh_addr": w.addr(w.ports.mesh + i), "siblings": peers,
		"endpoints": map[string]any{"cloud": w.addr(w.ports.cloud + i), "state": w.addr(w.ports.state + i)},
		"params": map[string]any{"zones": c.Zones, "teams": c.Teams,
			"workers": map[string]any{"report_s": wk.HeartbeatInterval.Seconds(), "lease_s": wk.Lease.Seconds(), "gang_wait_s": wk.GangWait.Seconds(), "gang_peer_s": wk.GangPeer.Seconds(), "cancel_s": wk.Cancel.Seconds()},
			"state":   map[string]any{"rps": c.State.RPS, "write_rps": c.State.WriteRPS, "value_kb": float64(c.State.ValueBytes) / 1024, "txn_ops": c.State.TxnOps},
			"cloud":   map[string]any{"rps": c.Cloud.RPS, "list_lag_s": c.Cloud.ListLag.Seconds()},
			"limits":  map[string]any{"ram_mb": float64(c.Limits.RAMBytes >> 20), "fd_limit": c.Limits.Files}}}
}
