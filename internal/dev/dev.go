// Package dev runs a small cluster on loopback for newcomers: three controllers as processes in an
// emulated cluster.
package dev

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"amberdeal.example/amberdeal/internal/emulator"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// Controllers is the number of controllers in a cluster.
const Controllers = 3

// Options configure a cluster.
type Options struct {
	Program  string // the path of amberdeal
	Port     int    // the first of its ports on 127.0.0.1
	LogLevel string // LOG_LEVEL of the controllers
}

// Cluster is an emulated cluster and the processes of its controllers.
type Cluster struct {
	*emulator.Cluster
	procs  emulator.Processes
	dir    string
	stop   context.CancelFunc
	caller *transport.Caller
}

// operatorSettings are the operators' settings of every controller, with short times: a demo shows a
// failover within seconds.
const operatorSettings = "[claim]\nlease = 3s\nrenew = 1s\n[machines]\nidle = 30s\n"

// Start starts a cluster of three controllers on this machine.
func Start(ctx context.Context, opt Options) (*Cluster, error) {
	dir, err := os.MkdirTemp("", "amberdeal-dev-*")
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	w := &Cluster{dir: dir, stop: stop}
	w.caller = &transport.Caller{MaxBody: 1 << 20, Dial: emulator.Dial}
	w.procs = emulator.Processes{Program: opt.Program, Level: opt.LogLevel, Dir: dir, Tuning: operatorSettings}
	w.procs.Begin(ctx)
	around, err := emulator.Start(ctx, emulator.DefaultConfig(), emulator.Options{Port: opt.Port, Dir: dir, Pause: w.procs.PauseNamed, Kill: w.procs.KillNamed})
	if err != nil {
		w.Stop()
		return nil, err
	}
	w.Cluster, w.procs.Settings, w.procs.Metrics = around, around.Settings, around.Metrics
	if err := w.startControllers(ctx); err != nil {
		w.Stop()
		return nil, err
	}
	return w, nil
}

// Addr returns the address at which users reach a controller.
func (w *Cluster) Addr(i int) string { return w.Public(i) }

// Log returns the path of a controller's log.
func (w *Cluster) Log(i int) string { return w.procs.Log(i) }

func controllerName(i int) string { return fmt.Sprint("c-", i) }

// startControllers starts the controllers and waits for them.
func (w *Cluster) startControllers(ctx context.Context) error {
	for i := range Controllers {
		if err := w.Restart(i); err != nil {
			return err
		}
	}
	for begun := time.Now(); !(w.Ready(ctx, 0) && w.Ready(ctx, 1) && w.Ready(ctx, 2)); time.Sleep(20 * time.Millisecond) {
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case time.Since(begun) > 30*time.Second:
			return errors.New("the controllers did not come up within 30 s")
		}
	}
	return nil
}

// Ready reports whether a controller serves users.
func (w *Cluster) Ready(ctx context.Context, i int) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	resp, err := w.caller.Call(ctx, w.Addr(i), "GET", wire.PathReady, nil)
	return err == nil && resp.Status == 200
}

// Restart starts a controller that does not run.
func (w *Cluster) Restart(i int) error { return w.procs.Start(i) }

// Kill terminates a controller with SIGKILL.
func (w *Cluster) Kill(i int) { w.procs.Kill(i) }

// Leader returns the leader of the fleet and its fencing token.
func (w *Cluster) Leader() (i int, token uint64, ok bool) {
	items := w.Page(store.LeaderKey("fleet"), 1)
	if len(items) == 0 {
		return 0, 0, false
	}
	var rec store.LeaderRecord
	if wire.DecodeValue(items[0].Value, &rec) != nil {
		return 0, 0, false
	}
	n, err := strconv.Atoi(strings.TrimPrefix(rec.Leader, "c-"))
	return n, rec.FencingToken, err == nil
}

// Stop ends everything and removes what was written.
func (w *Cluster) Stop() {
	w.procs.Stop()
	if w.Cluster != nil {
		w.Cluster.Stop()
	}
	w.stop()
	_ = os.RemoveAll(w.dir)
}

// request sends a request to the controllers in turn until one decides.
func (w *Cluster) request(ctx context.Context, first int, method, path string, body []byte) (status int, answer []byte) {
	for try := 0; ctx.Err() == nil; try++ {
		call, cancel := context.WithTimeout(ctx, 3*time.Second)
		resp, err := w.caller.Call(call, w.Addr((first+try)%Controllers), method, path, body)
		cancel()
		if err == nil && resp.Status != 503 && resp.Status != 429 {
			return resp.Status, resp.Body
		}
		store.Backoff(ctx, 100*time.Millisecond)
	}
	return 0, nil
}
