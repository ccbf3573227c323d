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

// serveBuildAPI serves the remote execution API to build tools. It runs a separate gRPC server, since
// httpwire does not support HTTP/2.
func (c *Controller) serveBuildAPI(ctx context.Context) error {
	settings := c.cfg.Tuning.Reapi
	casClient, err := cas.Dial(settings.CASAddr, "")
	if err != nil {
		return fmt.Errorf("connect to the content-addressable store %s: %w", settings.CASAddr, err)
	}
	defer casClient.Close()
	listener, err := net.Listen("tcp", settings.Listen)
	if err != nil {
		return fmt.Errorf("listen for build tools: %w", err)
	}
	api := &reapi.Server{Admission: c.admission, Store: casClient, Log: c.log, RunningTasks: c.statuses.runningTasks, Defaults: reapi.Defaults{Team: settings.Team, Class: settings.Class,
		Priority: wire.Priority(settings.Priority), CPUs: settings.CPUs, GPUs: settings.GPUs, MemoryGB: settings.MemoryGB, Image: settings.Image, Spot: settings.Spot, Estimate: settings.Estimate}}
	server := api.GRPC(settings.MaxCalls)
	defer context.AfterFunc(ctx, server.Stop)()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return api.Run(ctx) })
	g.Go(func() error { return server.Serve(listener) })
	c.log.Info("serving build tools", "addr", listener.Addr(), "cas", settings.CASAddr)
	return g.Wait()
}
