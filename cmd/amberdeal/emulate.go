package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"amberdeal.example/amberdeal/internal/emulator"
	"amberdeal.example/amberdeal/internal/load"
	"amberdeal.example/amberdeal/internal/transport"
)

type emulateCmd struct {
	World       string `placeholder:"FILE" help:"Size of the emulated cluster and its faults (INI, as deploy/world.ini); by default a small cluster."`
	Dir         string `placeholder:"DIR" help:"Where the settings of the controllers are written; by default a temporary directory."`
	Keep        bool   `help:"Keep the state service's content in --dir, and continue with content that is there."`
	Port        int    `default:"7080" help:"The first of its ports on 127.0.0.1."`
	Controllers bool   `help:"Start the controllers too, with logs in --dir."`
	Settings    string `placeholder:"FILE.ini" help:"The operators' settings of these controllers."`
	Level       string `default:"info" enum:"error,warn,info,debug" help:"LOG_LEVEL of these controllers."`
}

// Run runs an emulated cluster until Ctrl-C.
func (e emulateCmd) Run() error {
	c, err := e.clusterConfig()
	if err != nil {
		return settingsError{err}
	}
	if e.Keep && e.Dir == "" {
		return settingsError{errors.New("--keep needs --dir")}
	}
	ctx, stop := interruptContext()
	defer stop()
	dir := e.Dir
	if dir == "" {
		tempDir, err := os.MkdirTemp("", "amberdeal-world-*")
		if err != nil {
			return err
		}
		defer os.RemoveAll(tempDir)
		dir = tempDir
	}
	log, err := newLogger()
	if err != nil {
		return err
	}
	procs, err := e.processes(dir)
	if err != nil {
		return err
	}
	opt := emulator.Options{Port: e.Port, Dir: dir, Persist: e.Keep, Log: log}
	if e.Controllers {
		procs.Init(ctx)
		defer procs.Stop()
		opt.Kill, opt.Pause = procs.KillNamed, procs.PauseNamed
	}
	cluster, err := emulator.Start(ctx, c, opt)
	if err != nil {
		return err
	}
	defer cluster.Stop()
	procs.PlatformFile, procs.MetricsAddr = cluster.PlatformFile, cluster.MetricsAddr
	if err := e.startOrPrintCommands(cluster, procs, c.Controllers); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// clusterConfig reads the file that --world names, or returns the default configuration.
func (e emulateCmd) clusterConfig() (*emulator.Config, error) {
	if e.World == "" {
		return emulator.DefaultConfig(), nil
	}
	text, err := os.ReadFile(e.World)
	if err != nil {
		return nil, err
	}
	c, err := emulator.Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s:\n%w", e.World, err)
	}
	return c, nil
}

// processes returns the controllers' processes, of which none is started yet.
func (e emulateCmd) processes(dir string) (*emulator.Processes, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	var operatorSettings []byte
	if e.Settings != "" {
		if operatorSettings, err = os.ReadFile(e.Settings); err != nil {
			return nil, settingsError{err}
		}
	}
	return &emulator.Processes{Program: program, Level: e.Level, Dir: dir, OperatorSettings: string(operatorSettings)}, nil
}

// startOrPrintCommands starts the controllers or prints the commands that start them, and prints all addresses.
func (e emulateCmd) startOrPrintCommands(cluster *emulator.Cluster, procs *emulator.Processes, controllers int) error {
	var addrs, metrics []string
	for i := range controllers {
		addrs, metrics = append(addrs, cluster.PublicAddr(i)), append(metrics, cluster.MetricsAddr(i))
		if e.Controllers {
			if err := procs.Start(i); err != nil {
				return err
			}
		} else {
			fmt.Printf("%s serve --config %s\n", os.Args[0], cluster.PlatformFile(i))
		}
	}
	fmt.Printf("\ncontrollers %s; faults and status by --control %s\n", strings.Join(addrs, ","), cluster.ControlAddr())
	if e.Controllers {
		fmt.Printf("%s top --addr %s\n", os.Args[0], strings.Join(metrics, ","))
	}
	return nil
}

type faultCmd struct {
	Stage  faultStageCmd  `cmd:"" help:"Inject a fault now."`
	Lift   faultLiftCmd   `cmd:"" help:"End an active fault."`
	Status faultStatusCmd `cmd:"" help:"Print the status of the cluster, the injected faults and the violated rules."`
}

// controlFlags name the emulated cluster that a command connects to.
type controlFlags struct {
	Control string `default:"127.0.0.1:7120" help:"Control address of the emulated cluster."`
}

// call sends a request to the emulated cluster and prints the response.
func (c controlFlags) call(method, path string, body []byte) error {
	ctx, stop := interruptContext()
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	resp, err := newCaller().Call(ctx, c.Control, method, path, body)
	if err != nil {
		return fmt.Errorf("the emulated cluster at %s: %w", c.Control, err)
	}
	if resp.Status != 200 {
		var refusal emulator.ErrorResponse
		_ = json.Unmarshal(resp.Body, &refusal)
		return fmt.Errorf("refused: %s", refusal.Error)
	}
	fmt.Println(string(resp.Body))
	return nil
}

// newCaller returns a caller for emulated clusters and metrics addresses.
func newCaller() *transport.Client {
	return &transport.Client{MaxBody: 16 << 20, MaxIdle: 256, Dial: emulator.Dial}
}

type faultStageCmd struct {
	controlFlags
	Kind   string        `arg:"" help:"Kind of the fault, as listed in docs/emulator.md."`
	For    time.Duration `help:"Duration; by default until it is lifted."`
	From   string        `help:"One side of a partition: state, cloud, controllers, machines, all, zone:NAME or a controller."`
	To     string        `help:"The other side of the partition."`
	Mode   string        `help:"What happens to connections across the partition: hold, lose or reset."`
	OneWay bool          `help:"Partition one direction only."`
	Delay  time.Duration `help:"Added delay."`
	Share  float64       `help:"Fraction of the machines, the capacity, the transactions or the heartbeats."`
	Count  int           `help:"Number of machines or jobs."`
	Zone   string        `help:"Zone of the machines."`
	Notice time.Duration `help:"Warning time before spot machines are preempted."`
	Times  float64       `help:"Boot time as a multiple of the usual one."`
	Who    string        `help:"Controller, by name."`
	Hang   time.Duration `help:"How long the machines of cancelled jobs hang."`

	FromState bool `help:"Partition the controller from the state service."`
	FromPeers bool `help:"Partition the controller from its peers."`
	AtOnce    bool `help:"Apply the transactions at once; only their answers are lost."`
	ForNext   bool `help:"Keep the copies for the next leader."`
}

// Run injects a fault.
func (f faultStageCmd) Run() error {
	body, err := json.Marshal(emulator.Fault{Kind: f.Kind, For: f.For, From: f.From, To: f.To, Mode: f.Mode, OneWay: f.OneWay, Delay: f.Delay, Share: f.Share,
		Count: f.Count, Zone: f.Zone, Notice: f.Notice, Times: f.Times, Who: f.Who, Hang: f.Hang, FromState: f.FromState, FromPeers: f.FromPeers,
		AtOnce: f.AtOnce, ForNext: f.ForNext})
	if err != nil {
		return err
	}
	return f.call("POST", emulator.PathFaults, body)
}

type faultLiftCmd struct {
	controlFlags
	Number int `arg:"" help:"Number of the fault, as printed by stage and status."`
}

// Run ends an active fault.
func (f faultLiftCmd) Run() error {
	return f.call("DELETE", fmt.Sprintf("%s/%d", emulator.PathFaults, f.Number), nil)
}

type faultStatusCmd struct{ controlFlags }

// Run prints the status of the emulated cluster.
func (f faultStatusCmd) Run() error { return f.call("GET", emulator.PathStatus, nil) }

type loadCmd struct {
	Mix    string        `required:"" placeholder:"FILE" help:"Which jobs are submitted and when (INI, as deploy/load.ini)."`
	Addr   []string      `required:"" help:"Addresses of the controllers, separated by commas."`
	Judge  string        `help:"Control address of the emulated cluster, whose machines check which tasks run."`
	Prefix string        `help:"First digits of the job ids; by default the time, so that two runs do not collide."`
	Wait   time.Duration `default:"2m" help:"How long to wait for open jobs after the last submission."`
	JSON   bool          `help:"Print the result as JSON."`
}

// Run puts load on a service. It fails if a rule was violated or a job has not ended.
func (l loadCmd) Run() error {
	text, err := os.ReadFile(l.Mix)
	if err != nil {
		return settingsError{err}
	}
	mix, err := load.ParseMix(text)
	if err != nil {
		return settingsError{fmt.Errorf("%s:\n%w", l.Mix, err)}
	}
	if l.Prefix == "" {
		l.Prefix = fmt.Sprint(time.Now().Unix())
	}
	ctx, stop := interruptContext()
	defer stop()
	r := load.Runner{Mix: mix, Addrs: l.Addr, JudgeAddr: l.Judge, Prefix: l.Prefix, Caller: newCaller(), DrainTimeout: l.Wait}
	var lastPrinted time.Time
	res, err := r.Run(ctx, func(sent, all, open int) {
		if time.Since(lastPrinted) > time.Second {
			lastPrinted = time.Now()
			fmt.Fprintf(os.Stderr, "\r%d of %d jobs sent, %d open ", sent, all, open)
		}
	})
	fmt.Fprintln(os.Stderr)
	if err != nil {
		return err
	}
	if l.JSON {
		out, err := json.MarshalIndent(res, "", "  ")
		if err != nil {
			return err
		}
		fmt.Println(string(out))
	} else {
		res.Print(os.Stdout)
	}
	if len(res.Violations) > 0 || len(res.Open) > 0 {
		return fmt.Errorf("%d rules violated, %d jobs not ended", len(res.Violations), len(res.Open))
	}
	return nil
}
