package controller

import (
	"context"
	"fmt"
	"net"

	"golang.org/x/sync/errgroup"

	"amberdeal.example/amberdeal/internal/cas"
	"amberdeal.example/amberdeal/internal/reapi"
	"amberdeal.example/amberdeal/wire"
)

// serveBuildAPI serves build tools. gRPC brings a server of its own, since httpwire does not speak
// HTTP/2.
func (c *Controller) serveBuildAPI(ctx context.Context) error {
	set := c.cfg.Tuning.Reapi
	blobs, err := cas.Dial(set.Store, "")
	if err != nil {
		return fmt.Errorf("connect to the content-addressable store %s: %w", set.Store, err)
	}
	defer blobs.Close()
	lis, err := net.Listen("tcp", set.Listen)
	if err != nil {
		return fmt.Errorf("listen for build tools: %w", err)
	}
	front := &reapi.Server{Admission: c.admission, Store: blobs, Log: c.log, RunningTasks: c.statuses.runningTasks, Defaults: reapi.Defaults{Team: set.Team, Class: set.Class,
		Priority: wire.Priority(set.Priority), CPUs: set.CPUs, GPUs: set.GPUs, MemoryGB: set.MemoryGB, Image: set.Image, Spot: set.Spot, Estimate: set.Estimate}}
	server := front.GRPC(set.Calls)
	defer context.AfterFunc(ctx, server.Stop)()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return front.Run(ctx) })
	g.Go(func() error { return server.Serve(lis) })
	c.log.Info("serving build tools", "addr", lis.Addr(), "cas", set.Store)
	return g.Wait()
}
