// Package dev runs a small cluster on loopback for trying out the scheduler: three controllers as processes in
// an emulated cluster.
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
	Program string // path of the amberdeal binary
	Port    int    // the first of the cluster's ports on 127.0.0.1
	Level   string // LOG_LEVEL of the controllers
}

// Cluster is an emulated cluster and the processes of its controllers.
type Cluster struct {
	*emulator.Cluster
	procs  emulator.Processes
	dir    string
	stop   context.CancelFunc
	caller *transport.Client
}

// operatorSettings are the operators' settings of every controller. The lease is short so that a demo shows a
// failover within seconds.
const operatorSettings = "[claim]\nlease = 3s\nrenew = 1s\n[machines]\nidle = 30s\n"

// Start starts a cluster of three controllers on this machine.
func Start(ctx context.Context, opt Options) (*Cluster, error) {
	dir, err := os.MkdirTemp("", "amberdeal-dev-*")
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	c := &Cluster{dir: dir, stop: stop}
	c.caller = &transport.Client{MaxBody: 1 << 20, Dial: emulator.Dial}
	c.procs = emulator.Processes{Program: opt.Program, Level: opt.Level, Dir: dir, OperatorSettings: operatorSettings}
	c.procs.Init(ctx)
	emulated, err := emulator.Start(ctx, emulator.DefaultConfig(), emulator.Options{Port: opt.Port, Dir: dir, Pause: c.procs.PauseNamed, Kill: c.procs.KillNamed})
	if err != nil {
		c.Stop()
		return nil, err
	}
	c.Cluster, c.procs.PlatformFile, c.procs.MetricsAddr = emulated, emulated.PlatformFile, emulated.MetricsAddr
	if err := c.startControllers(ctx); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

// Addr returns the address at which users reach a controller.
func (c *Cluster) Addr(i int) string { return c.PublicAddr(i) }

// Log returns the path of a controller's log.
func (c *Cluster) Log(i int) string { return c.procs.Log(i) }

func controllerName(i int) string { return fmt.Sprint("c-", i) }

// startControllers starts the controllers and waits until all are ready.
func (c *Cluster) startControllers(ctx context.Context) error {
	for i := range Controllers {
		if err := c.Restart(i); err != nil {
			return err
		}
	}
	for begun := time.Now(); !(c.Ready(ctx, 0) && c.Ready(ctx, 1) && c.Ready(ctx, 2)); time.Sleep(20 * time.Millisecond) {
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case time.Since(begun) > 30*time.Second:
			return errors.New("the controllers were not ready within 30 s")
		}
	}
	return nil
}

// Ready reports whether a controller serves users' requests.
func (c *Cluster) Ready(ctx context.Context, i int) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	resp, err := c.caller.Call(ctx, c.Addr(i), "GET", wire.PathReady, nil)
	return err == nil && resp.Status == 200
}

// Restart starts a controller that is not running.
func (c *Cluster) Restart(i int) error { return c.procs.Start(i) }

// Kill terminates a controller with SIGKILL.
func (c *Cluster) Kill(i int) { c.procs.Kill(i) }

// Leader returns the number of the controller that leads the fleet and its fencing token.
func (c *Cluster) Leader() (i int, token uint64, ok bool) {
	items := c.ListKeys(store.LeaderKey("fleet"), 1)
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

// Stop stops the controllers and the emulated cluster and removes their files.
func (c *Cluster) Stop() {
	c.procs.Stop()
	if c.Cluster != nil {
		c.Cluster.Stop()
	}
	c.stop()
	_ = os.RemoveAll(c.dir)
}

// request sends a request to the controllers in turn until one returns a status other than 429 and 503. It
// returns status 0 if the context ends before.
func (c *Cluster) request(ctx context.Context, first int, method, path string, body []byte) (status int, response []byte) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		callCtx, cancel := context.WithTimeout(ctx, 3*time.Second)
		resp, err := c.caller.Call(callCtx, c.Addr((first+attempt)%Controllers), method, path, body)
		cancel()
		if err == nil && resp.Status != 503 && resp.Status != 429 {
			return resp.Status, resp.Body
		}
		store.Backoff(ctx, 100*time.Millisecond)
	}
	return 0, nil
}
