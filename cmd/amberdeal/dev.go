package main

import (
	"fmt"
	"os"
	"time"

	"amberdeal.example/amberdeal/internal/dev"
)

type devCmd struct {
	Port  int    `default:"7080" help:"The first of some fifty ports on 127.0.0.1."`
	Demo  bool   `help:"Run a job of each shape, kill the leader meanwhile, and exit."`
	Level string `default:"info" enum:"error,warn,info,debug" help:"LOG_LEVEL of the controllers."`
}

// devInstructions is printed once the cluster is ready; its arguments are in Run.
const devInstructions = `
Three controllers serve on %[1]s, %[2]s and %[3]s; the cloud has 8 machines.
Logs are in %[4]s and the files beside it. In another terminal:

  export AMBERDEAL_ADDR=%[1]s
  echo '{"uid":"wk-1","breed":"demo","keeper":"red","shape":"sweep","rank":"normal","cells":8,
   "vcpus":2,"accelerators":1,"mem_gb":8,"comb":"img","image_gb":1,"one_zone":false,"spread":false,
   "borrowed":true,"expect_s":10,"capping_s":0,"seal_s":0}' | %[5]s submit -
  %[5]s status wk-1
  %[5]s abort wk-1
  %[5]s top --addr %[7]s
  %[5]s fault stage controller_kill --control %[6]s --who c-0
  %[5]s load --mix deploy/load.ini --addr %[1]s,%[2]s,%[3]s --judge %[6]s

Ctrl-C stops everything and removes all files.
`

// Run runs the cluster until Ctrl-C, or until the demo is over.
func (d devCmd) Run() error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	ctx, stop := interruptContext()
	defer stop()
	begun := time.Now()
	cluster, err := dev.Start(ctx, dev.Options{Program: program, Port: d.Port, Level: d.Level})
	if err != nil {
		return err
	}
	defer cluster.Stop()
	fmt.Printf("ready after %.1f s\n", time.Since(begun).Seconds())
	if d.Demo {
		return cluster.Demo(ctx, os.Stdout)
	}
	fmt.Printf(devInstructions, cluster.Addr(0), cluster.Addr(1), cluster.Addr(2), cluster.Log(0), os.Args[0], cluster.ControlAddr(), cluster.MetricsAddr(0)+","+cluster.MetricsAddr(1)+","+cluster.MetricsAddr(2))
	<-ctx.Done()
	return nil
}
