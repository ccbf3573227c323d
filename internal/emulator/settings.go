package emulator

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// PlatformFile returns the path of a controller's platform file.
func (cluster *Cluster) PlatformFile(i int) string {
	return filepath.Join(cluster.opt.Dir, fmt.Sprintf("c-%d.json", i))
}

// writePlatformFiles writes the platform file of each controller.
func (cluster *Cluster) writePlatformFiles() error {
	if cluster.opt.Dir == "" {
		return nil
	}
	errs := []error{os.MkdirAll(cluster.opt.Dir, 0o755)}
	for i := range cluster.Config.Controllers {
		text, err := json.MarshalIndent(cluster.platformFileContent(i), "", "  ")
		errs = append(errs, err, writeFileAtomic(cluster.PlatformFile(i), text))
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
func (cluster *Cluster) platformFileContent(i int) map[string]any {
	c := cluster.Config
	peers := []any{}
	for k := range c.Controllers {
		if k != i {
			peers = append(peers, map[string]any{"host_name": cluster.controllerEndpoint(k).name, "location": cluster.zoneOf(k), "peer_addr": cluster.addr(cluster.ports.peerLink(i, k))})
		}
	}
	workers := c.Workers
	return map[string]any{"host_name": cluster.controllerEndpoint(i).name, "location": cluster.zoneOf(i), "public_addr": cluster.PublicAddr(i), "mesh_addr": cluster.addr(cluster.ports.mesh + i), "siblings": peers,
		"endpoints": map[string]any{"cloud": cluster.addr(cluster.ports.cloud + i), "state": cluster.addr(cluster.ports.state + i)},
		"params": map[string]any{"zones": c.Zones, "teams": c.Teams,
			"workers": map[string]any{"report_s": workers.HeartbeatInterval.Seconds(), "lease_s": workers.Lease.Seconds(), "gang_wait_s": workers.GangStartTimeout.Seconds(), "gang_peer_s": workers.GangPeerTimeout.Seconds(), "cancel_s": workers.CancelTimeout.Seconds()},
			"state":   map[string]any{"rps": c.State.RPS, "write_rps": c.State.WriteRPS, "value_kb": float64(c.State.ValueBytes) / 1024, "txn_ops": c.State.TxnOps},
			"cloud":   map[string]any{"rps": c.Cloud.RPS, "list_lag_s": c.Cloud.ListLag.Seconds()},
			"limits":  map[string]any{"ram_mb": float64(c.Limits.RAMBytes >> 20), "fd_limit": c.Limits.OpenFiles}}}
}
