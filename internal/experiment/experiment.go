// Package experiment runs a matrix of clusters, loads, settings and seeds. Each cell runs in an emulated cluster of its
// own with real controllers. The outcome of each cell is saved to a file, so that an interrupted run resumes where it
// stopped. The package also writes two columnar (Parquet) files and an HTML report.
package experiment

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/parquet-go/parquet-go"
	"golang.org/x/sync/errgroup"
	"gopkg.in/ini.v1"

	"amberdeal.example/amberdeal/internal/emulator"
	"amberdeal.example/amberdeal/internal/load"
	"amberdeal.example/amberdeal/internal/outcomefile"
	"amberdeal.example/amberdeal/internal/transport"
)

// Plan is the content of an experiment file. It names files by their paths relative to that file.
type Plan struct {
	Dir      string        // directory of the experiment file
	Worlds   []string      // world files, or small for emulator.DefaultConfig
	Mixes    []string      // mix files
	Settings []string      // operators' files; noSettings for the defaults
	Seeds    []uint64      // seeds of the clusters and the loads
	Parallel int           // number of cells that run concurrently
	Port     int           // first port of the first cluster
	Wait     time.Duration // how long to wait for open jobs after the last submission
}

// noSettings stands for the default settings, without an operators' file, in a plan and a cell.
const noSettings = "none"

// Cell identifies one run of the matrix.
type Cell struct {
	World    string `json:"world" parquet:"world,dict"`
	Mix      string `json:"mix" parquet:"mix,dict"`
	Settings string `json:"settings" parquet:"settings,dict"`
	Seed     uint64 `json:"seed" parquet:"seed"`
}

// fileName returns the name of the file that holds the outcome of the cell.
func (c Cell) fileName() string {
	sanitize := func(s string) string {
		return strings.Map(func(r rune) rune {
			if strings.ContainsRune(`/\ .`, r) {
				return '-'
			}
			return r
		}, s)
	}
	return fmt.Sprintf("cell-%s-%s-%s-%d.json", sanitize(c.World), sanitize(c.Mix), sanitize(c.Settings), c.Seed)
}

func (c Cell) String() string {
	return fmt.Sprintf("%s, %s, %s, seed %d", c.World, c.Mix, c.Settings, c.Seed)
}

// Sample is the state of a cluster at a time. Samples are taken each second.
type Sample struct {
	Cell
	TimeS        float64 `json:"t_s" parquet:"t_s"`
	Machines     int     `json:"machines" parquet:"machines"`
	Up           int     `json:"up" parquet:"up"`
	Running      int     `json:"running" parquet:"tasks_running"`
	Cost         float64 `json:"cost" parquet:"cost"`
	Requests     float64 `json:"requests_s" parquet:"state_requests_s"`
	Changes      float64 `json:"changes_s" parquet:"state_changes_s"`
	FencingToken uint64  `json:"term" parquet:"term"`
}

// ClassRow is the result of a class of jobs in a cell. Times are in milliseconds.
type ClassRow struct {
	Cell
	Class     string `parquet:"class,dict"`
	Jobs      int    `parquet:"jobs"`
	Accepted  int    `parquet:"accepted"`
	Refused   int    `parquet:"refused"`
	GivenUp   int    `parquet:"given_up"`
	Done      int    `parquet:"done"`
	Cancelled int    `parquet:"cancelled"`
	AcceptP50 int64  `parquet:"accept_p50_ms"`
	AcceptP99 int64  `parquet:"accept_p99_ms"`
	StartP50  int64  `parquet:"start_p50_ms"`
	StartP99  int64  `parquet:"start_p99_ms"`
	FinishP50 int64  `parquet:"finish_p50_ms"`
	FinishP99 int64  `parquet:"finish_p99_ms"`
}

// Outcome is the result of a cell.
type Outcome struct {
	Cell     Cell                   `json:"cell"`
	Result   *load.Result           `json:"result"`
	Samples  []Sample               `json:"samples"`
	Faults   []emulator.StagedFault `json:"faults"`
	RPS      float64                `json:"state_rps"`
	WriteRPS float64                `json:"state_write_rps"`
}

// Parse parses an experiment file and the files that it names, and returns all errors joined.
func Parse(path string) (*Plan, error) {
	file, err := ini.Load(path)
	if err != nil {
		return nil, fmt.Errorf("reading the experiment: %w", err)
	}
	p := &Plan{Dir: filepath.Dir(path), Settings: []string{noSettings}, Seeds: []uint64{1}, Parallel: 1, Port: 12080, Wait: 2 * time.Minute}
	var errs []error
	for _, sec := range file.Sections() {
		for _, key := range sec.Keys() {
			if sec.Name() != "experiment" {
				errs = append(errs, fmt.Errorf("[%s]: must be experiment", sec.Name()))
			} else if allowed := p.setKey(key); allowed != "" {
				errs = append(errs, fmt.Errorf("[experiment] %s: %q: must be %s", key.Name(), key.Value(), allowed))
			}
		}
	}
	return p, errors.Join(append(errs, p.checkFiles()...)...)
}

// setKey sets a field from its key in the file. It returns a description of the allowed values if it rejects the key or
// the value, otherwise an empty string.
func (p *Plan) setKey(key *ini.Key) (allowed string) {
	var err error
	switch key.Name() {
	case "worlds":
		p.Worlds = key.Strings(",")
	case "mixes":
		p.Mixes = key.Strings(",")
	case "settings":
		p.Settings = key.Strings(",")
	case "seeds":
		if p.Seeds, err = key.StrictUint64s(","); err != nil || len(p.Seeds) == 0 {
			return "counts separated by commas"
		}
	case "parallel":
		if p.Parallel, err = key.Int(); err != nil || p.Parallel < 1 || p.Parallel > 16 {
			return "a count from 1 to 16"
		}
	case "port":
		if p.Port, err = key.Int(); err != nil || p.Port < 1024 || p.Port > 12080 {
			return "a port from 1024 to 12080, below those that the system gives out"
		}
	case "wait":
		if p.Wait, err = time.ParseDuration(key.Value()); err != nil || p.Wait < time.Second {
			return "a duration of a second or more"
		}
	default:
		return "left out; known are mixes, parallel, port, seeds, settings, wait, worlds"
	}
	return ""
}

// checkFiles checks the files that a plan names. Elements of the result are nil for valid files.
func (p *Plan) checkFiles() (errs []error) {
	if len(p.Worlds) == 0 || len(p.Mixes) == 0 {
		errs = append(errs, errors.New("[experiment] worlds and mixes: must name a file each at least"))
	}
	for _, world := range p.Worlds {
		_, err := p.readCluster(world)
		errs = append(errs, err)
	}
	for _, mix := range p.Mixes {
		_, err := p.readMix(mix)
		errs = append(errs, err)
	}
	for _, settings := range p.Settings {
		if settings != noSettings {
			if _, err := os.Stat(filepath.Join(p.Dir, settings)); err != nil {
				errs = append(errs, fmt.Errorf("reading the settings: %w", err))
			}
		}
	}
	return errs
}

// readCluster reads the world file with a name, or returns the default cluster for small.
func (p *Plan) readCluster(name string) (*emulator.Config, error) {
	if name == "small" {
		return emulator.DefaultConfig(), nil
	}
	text, err := os.ReadFile(filepath.Join(p.Dir, name))
	if err != nil {
		return nil, fmt.Errorf("reading the cluster: %w", err)
	}
	c, err := emulator.Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s:\n%w", name, err)
	}
	return c, nil
}

// readMix reads the mix file with a name.
func (p *Plan) readMix(name string) (*load.Mix, error) {
	text, err := os.ReadFile(filepath.Join(p.Dir, name))
	if err != nil {
		return nil, fmt.Errorf("reading the load: %w", err)
	}
	m, err := load.ParseMix(text)
	if err != nil {
		return nil, fmt.Errorf("%s:\n%w", name, err)
	}
	return m, nil
}

// Cells returns the cells of the matrix.
func (p *Plan) Cells() (out []Cell) {
	for _, world := range p.Worlds {
		for _, mix := range p.Mixes {
			for _, settings := range p.Settings {
				for _, seed := range p.Seeds {
					out = append(out, Cell{world, mix, settings, seed})
				}
			}
		}
	}
	return out
}

// Runner runs the cells of a plan.
type Runner struct {
	Plan    *Plan
	Out     string // directory of the outcomes and tables
	Program string // path of the amberdeal binary
	Log     *slog.Logger
	// Progress is called when a cell is complete, with the number of complete cells and of all cells, and whether the
	// outcome was saved by an earlier run.
	Progress func(c Cell, completed, total int, saved bool)
}

// Run runs each cell that has no saved outcome, writes the tables, and returns the outcomes of all cells.
func (r *Runner) Run(ctx context.Context) ([]*Outcome, error) {
	if err := os.MkdirAll(r.Out, 0o755); err != nil {
		return nil, fmt.Errorf("making the directory of the results: %w", err)
	}
	cells := r.Plan.Cells()
	out := make([]*Outcome, len(cells))
	ports := make(chan int, r.Plan.Parallel)
	for i := range r.Plan.Parallel {
		ports <- r.Plan.Port + 1500*i
	}
	var mu sync.Mutex
	completed := 0
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(r.Plan.Parallel)
	for i, c := range cells {
		g.Go(func() error {
			path := filepath.Join(r.Out, c.fileName())
			o, err := readOutcome(path)
			saved := err == nil
			if !saved {
				port := <-ports
				o, err = r.runCell(ctx, c, port)
				ports <- port
				if err != nil {
					return fmt.Errorf("%v: %w", c, err)
				}
				if err := outcomefile.Save(path, o); err != nil {
					return fmt.Errorf("%v: %w", c, err)
				}
			}
			mu.Lock()
			defer mu.Unlock()
			out[i] = o
			completed++
			r.Progress(c, completed, len(cells), saved)
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	return out, writeTables(r.Out, out)
}

// readOutcome reads the outcome of a cell from a file.
func readOutcome(path string) (*Outcome, error) {
	o := new(Outcome)
	if err := outcomefile.Load(path, outcomeKind, o); err != nil {
		return nil, err
	}
	if o.Result == nil {
		return nil, fmt.Errorf("%s: not %s: no result", path, outcomeKind)
	}
	return o, nil
}

// outcomeKind names the content of an outcome file in errors.
const outcomeKind = "a cell's outcome"

// Read returns the outcomes that are saved in a directory.
func Read(dir string) (out []*Outcome, err error) {
	paths, err := filepath.Glob(filepath.Join(dir, "cell-*.json"))
	if err != nil || len(paths) == 0 {
		return nil, fmt.Errorf("%s holds no outcome of an experiment", dir)
	}
	slices.Sort(paths)
	for _, path := range paths {
		o, err := readOutcome(path)
		if err != nil {
			return nil, err
		}
		out = append(out, o)
	}
	return out, nil
}

// runCell runs a cell in an emulated cluster whose ports start at port.
func (r *Runner) runCell(ctx context.Context, c Cell, port int) (*Outcome, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	conf, mix, err := r.Plan.cellInput(c)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "amberdeal-experiment-*")
	if err != nil {
		return nil, fmt.Errorf("making a directory for the cluster: %w", err)
	}
	defer os.RemoveAll(dir)
	procs := emulator.Processes{Program: r.Program, Level: "error", Dir: dir}
	if procs.OperatorSettings, err = r.Plan.operatorSettings(c.Settings); err != nil {
		return nil, err
	}
	procs.Init(ctx)
	defer procs.Stop()
	cluster, err := emulator.Start(ctx, conf, emulator.Options{Port: port, Dir: dir, Log: r.Log, Kill: procs.KillNamed, Pause: procs.PauseNamed})
	if err != nil {
		return nil, fmt.Errorf("starting the emulated cluster: %w", err)
	}
	defer cluster.Stop()
	caller := &transport.Client{MaxBody: 1 << 20, MaxIdle: 256, Dial: emulator.Dial}
	addrs, err := startControllers(ctx, &procs, cluster, caller)
	if err != nil {
		return nil, err
	}
	o := &Outcome{Cell: c, RPS: conf.State.RPS, WriteRPS: conf.State.WriteRPS}
	runner := &load.Runner{Mix: mix, Addrs: addrs, JudgeAddr: cluster.ControlAddr(), Prefix: strconv.FormatUint(c.Seed%1000, 10), Caller: caller, DrainTimeout: r.Plan.Wait}
	if err := o.measure(ctx, cluster, runner); err != nil {
		return nil, err
	}
	return o, nil
}

// cellInput reads the cluster configuration and the mix of a cell and sets the seed of both.
func (p *Plan) cellInput(c Cell) (*emulator.Config, *load.Mix, error) {
	conf, err := p.readCluster(c.World)
	if err != nil {
		return nil, nil, err
	}
	mix, err := p.readMix(c.Mix)
	if err != nil {
		return nil, nil, err
	}
	conf.Seed, mix.Seed = c.Seed, c.Seed
	return conf, mix, nil
}

// operatorSettings returns the content of an operators' file. It is empty for the defaults.
func (p *Plan) operatorSettings(settings string) (string, error) {
	if settings == noSettings {
		return "", nil
	}
	text, err := os.ReadFile(filepath.Join(p.Dir, settings))
	if err != nil {
		return "", fmt.Errorf("reading the settings: %w", err)
	}
	return string(text), nil
}

// startControllers starts the controllers of a cluster, waits until they are ready and returns
// their addresses.
func startControllers(ctx context.Context, procs *emulator.Processes, cluster *emulator.Cluster, caller *transport.Client) ([]string, error) {
	procs.PlatformFile, procs.MetricsAddr = cluster.PlatformFile, cluster.MetricsAddr
	var addrs []string
	for i := range cluster.Config.Controllers {
		if err := procs.Start(i); err != nil {
			return nil, fmt.Errorf("starting controller %d: %w", i, err)
		}
		addrs = append(addrs, cluster.PublicAddr(i))
	}
	if err := emulator.WaitReady(ctx, caller, addrs); err != nil {
		return nil, fmt.Errorf("waiting for the controllers: %w", err)
	}
	return addrs, nil
}

// measure runs the load of a cell on a cluster. It records the result, samples of the cluster's state and the faults
// that were staged meanwhile.
func (o *Outcome) measure(ctx context.Context, cluster *emulator.Cluster, runner *load.Runner) error {
	sampleCtx, stopSampling := context.WithCancel(ctx)
	sampled := make(chan struct{})
	go func() { defer close(sampled); o.sample(sampleCtx, cluster) }()
	var err error
	o.Result, err = runner.Run(ctx, func(int, int, int) {})
	stopSampling()
	<-sampled
	if err != nil {
		return fmt.Errorf("running the load: %w", err)
	}
	o.Faults = cluster.Status().Faults
	return nil
}

// sample records the state of the cluster each second until the context ends.
func (o *Outcome) sample(ctx context.Context, cluster *emulator.Cluster) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	last := cluster.Status()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s := cluster.Status()
		if d := s.AgeS - last.AgeS; d > 0 {
			o.Samples = append(o.Samples, Sample{Cell: o.Cell, TimeS: s.AgeS, Machines: s.Machines, Up: s.Up, Running: s.RunningTasks, Cost: s.Cost, FencingToken: s.FencingToken,
				Requests: float64(s.Requests-last.Requests) / d, Changes: float64(s.Changes-last.Changes) / d})
		}
		last = s
	}
}

// writeTables writes the samples and the results by class as Parquet files.
func writeTables(dir string, all []*Outcome) error {
	var samples []Sample
	var classes []ClassRow
	for _, o := range all {
		samples = append(samples, o.Samples...)
		for _, name := range o.Result.Names() {
			c := o.Result.Classes[name]
			classes = append(classes, ClassRow{o.Cell, name, c.Jobs, c.Accepted, c.Refused, c.GivenUp, c.Done, c.Cancelled,
				c.Accept.P50, c.Accept.P99, c.Start.P50, c.Start.P99, c.Finish.P50, c.Finish.P99})
		}
	}
	err := errors.Join(parquet.WriteFile(filepath.Join(dir, "samples.parquet"), samples), parquet.WriteFile(filepath.Join(dir, "classes.parquet"), classes))
	if err != nil {
		return fmt.Errorf("writing the tables: %w", err)
	}
	return nil
}
