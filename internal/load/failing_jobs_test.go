package load_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/emulator"
	"amberdeal.example/amberdeal/internal/load"
	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// mixOfTinyTasks is a mix file with arrays of which a machine has room for more tasks than its record may name.
const mixOfTinyTasks = `[load]
for = 12s
poll = 500ms
[class tiny]
per_minute = 40
tasks = 40-70
cpus = 0.05
gpus = 0
memory_gb = 0.1
run = 300ms-1s
image_gb = 0.1
[class plain]
per_minute = 60
tasks = 1-2
run = 200ms-1s
image_gb = 0.1`

// TestMistakenJobsAndLateCommands guards, on real sockets, against jobs that wait beside machines with room after other jobs have
// failed on all of them, or direct calls were held up. A replica runs on each machine, and the cloud has no more.
func TestMistakenJobsAndLateCommands(t *testing.T) {
	config := emulator.DefaultConfig()
	config.CapacityByOffer = map[simulator.Offer]int{{Type: config.Types[0].Name, Zone: "a"}: 1, {Type: config.Types[0].Name, Zone: "b"}: 1}
	cluster, err := emulator.Start(t.Context(), config, emulator.Options{Port: 27300 + 2400, Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	defer cluster.Stop()
	addrs, stop := startControllers(t, cluster)
	defer stop()
	caller := &transport.Client{MaxBody: 1 << 20, Dial: emulator.Dial}
	service := &wire.Job{ID: "wk-1", Class: "s", Team: "red", Shape: wire.Service, Priority: wire.Production, Tasks: 2, Spread: true, CPUs: 9, GPUs: 1, MemoryGB: 4, Image: "img", ImageGB: 0.1}
	submitUntilAccepted(t, caller, addrs[0], service)
	time.Sleep(8 * time.Second) // until the replicas run
	for _, f := range []emulator.Fault{{Kind: "jobs_mistaken", Share: 1, For: 6 * time.Second}, {Kind: "command_late", Share: 0.6, For: 10 * time.Second}} {
		if _, err := cluster.Stage(f); err != nil {
			t.Fatal(err)
		}
	}
	r := load.Runner{Mix: parseMix(t, mixOfTinyTasks), Addrs: addrs, JudgeAddr: cluster.ControlAddr(), Prefix: "8", DrainTimeout: 50 * time.Second, Caller: caller}
	res, err := r.Run(t.Context(), func(int, int, int) {})
	if err != nil {
		t.Fatal(err)
	}
	if len(res.Violations) > 0 || len(res.Open) > 0 {
		t.Errorf("violations: %v; open: %v", res.Violations, res.Open)
	}
	if res.Instructions.Cancelled == 0 {
		t.Error("no job was submitted with a mistake")
	}
}

// submitUntilAccepted submits a job again and again until a controller accepts it.
func submitUntilAccepted(t *testing.T, caller *transport.Client, addr string, job *wire.Job) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		resp, err := caller.Call(ctx, addr, "POST", wire.PathJobs, wire.Encode(job))
		cancel()
		if err == nil && resp.Status == 201 {
			return
		}
		if err == nil && resp.Status != 503 {
			t.Fatalf("the submission of %s was answered %d: %s", job.ID, resp.Status, strings.TrimSpace(string(resp.Body)))
		}
	}
	t.Fatalf("%s is not accepted", job.ID)
}
