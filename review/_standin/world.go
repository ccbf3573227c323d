package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// team is a team as in the settings file.
type team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

// settings describe a deployment.
type settings struct {
	zones       []string
	teams       []team
	types       []wire.MachineType
	capacity    map[string]int // machines that the cloud has, by zone
	upAtStart   map[string]int // of these, those that are up from the start
	report      time.Duration
	lease       time.Duration
	gangWait    time.Duration
	gangPeer    time.Duration
	cancel      time.Duration
	listLag     time.Duration
	valueKB     int
	txnOps      int
	stateRPS    float64
	stateWrites float64
	cloudRPS    float64
}

// smallDeployment returns settings like those of a small deployment: three controllers, four zones, one machine type.
func smallDeployment() settings {
	zones := []string{"north", "east", "south", "west"}
	return settings{
		zones:    zones,
		teams:    []team{{Name: "alerts", GPUs: 16, GPUsMax: 48}, {Name: "forecasts", GPUs: 24, GPUsMax: 64}, {Name: "guests"}},
		types:    []wire.MachineType{{Name: "u-32", CPUs: 32, GPUs: 4, MemoryGB: 192, CacheGB: 150, FetchGBps: 0.5, Price: 10.7, SpotPrice: 3.64, BootS: 30, Zones: zones}},
		capacity: map[string]int{}, upAtStart: map[string]int{},
		report: 3 * time.Second, lease: 27 * time.Second, gangWait: 50 * time.Second, gangPeer: 5 * time.Second, cancel: 52 * time.Second,
		listLag: 8 * time.Second, valueKB: 8, txnOps: 20, stateRPS: 100, stateWrites: 30, cloudRPS: 10,
	}
}

// controllerCount is the number of controllers.
const controllerCount = 3

// controller is a process of the project.
type controller struct {
	name, zone, public, mesh string
	configFile               string
	cmd                      *exec.Cmd
	log                      *os.File
	exited                   chan struct{} // closed once the process has ended
}

// world is a deployment: the project's controllers as processes, and stand-ins for all that they talk to.
type world struct {
	settings
	root, dir   string
	rec         *record
	state       *simulator.StateService
	cloud       *cloud
	controllers []*controller
	command     []string // how a controller is started, without its settings file

	mu   sync.Mutex
	jobs map[string]*job // descriptions that users have uploaded
}

// job is a job as its user knows it.
type job struct {
	wire.Job
	run      time.Duration // how long a task runs
	mistaken bool          // its tasks fail on every machine
}

// newWorld starts a deployment. If it fails, nothing of the deployment is left.
func newWorld(ctx context.Context, root string, s settings, rec *record) (_ *world, err error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			_ = os.RemoveAll(dir)
		}
	}()
	w := &world{settings: s, root: root, dir: dir, rec: rec, jobs: map[string]*job{}}
	if w.command, err = deployCommand(root); err != nil {
		return nil, err
	}
	w.state = simulator.NewStateService(1, 0)
	w.state.Limits = simulator.StateLimits{RPS: s.stateRPS, WriteRPS: s.stateWrites, ValueBytes: s.valueKB << 10, TxnOps: s.txnOps}
	w.state.ResponseDelay = func() time.Duration { return 6 * time.Millisecond }
	stateAddr, err := serveStreams(ctx, w.state.Serve())
	if err != nil {
		return nil, err
	}
	w.cloud = newCloud(w)
	cloudAddr, err := serveHTTP(w.cloud)
	if err != nil {
		return nil, err
	}
	for range startTries { // another process may have taken a port meanwhile
		if err = w.startAll(ctx, stateAddr, cloudAddr); err == nil {
			break
		}
		w.killAll()
	}
	if err != nil {
		return nil, err
	}
	for _, zone := range s.zones {
		for range s.upAtStart[zone] {
			w.cloud.add(s.types[0].Name, zone, false, 0)
		}
	}
	return w, nil
}

const (
	startTries = 5
	// startWait is how long a controller that can't listen takes to end at most.
	startWait = 500 * time.Millisecond
)

// startAll starts all controllers on free ports.
func (w *world) startAll(ctx context.Context, stateAddr, cloudAddr string) error {
	if err := w.addControllers(); err != nil {
		return err
	}
	for i, c := range w.controllers {
		if err := w.writeConfig(i, stateAddr, cloudAddr); err != nil {
			return err
		}
		if err := w.start(c); err != nil {
			return err
		}
	}
	sleep(ctx, startWait)
	return w.running()
}

// killAll ends all controllers.
func (w *world) killAll() {
	for _, c := range w.controllers {
		w.kill(c)
	}
}

// stop ends all processes and machines.
func (w *world) stop() {
	w.killAll()
	w.cloud.stop()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		w.rec.printf("logs are in %s", w.dir)
	}
}

// deployCommand returns the command of the deploy file that starts a controller, without the settings file.
func deployCommand(root string) ([]string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "service.toml"))
	if err != nil {
		return nil, err
	}
	m := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(text)
	if m == nil {
		return nil, errors.New("the deploy file has no run")
	}
	command := strings.Fields(string(m[1]))
	command[0] = filepath.Join(root, command[0])
	_, err = os.Stat(command[0])
	return command, err
}

// Ports of the controllers. They are below those that the system gives to outgoing connections, which could take a
// port between the moment when it was found free and the moment when the controller listens.
const (
	firstPort = 12_000
	lastPort  = 30_000
	portTries = 200
)

// freeAddr returns a free address on loopback, which is held until the listener is closed.
func freeAddr() (l net.Listener, err error) {
	for range portTries {
		if l, err = net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))); err == nil {
			return l, nil
		}
	}
	return nil, err
}

// addControllers chooses the names and addresses of the controllers.
func (w *world) addControllers() error {
	w.controllers = nil
	for i := range controllerCount {
		publicListener, err := freeAddr()
		if err != nil {
			return err
		}
		defer publicListener.Close()
		meshListener, err := freeAddr()
		if err != nil {
			return err
		}
		defer meshListener.Close()
		public, mesh := publicListener.Addr().String(), meshListener.Addr().String()
		name := fmt.Sprintf("hive-%d", i)
		w.controllers = append(w.controllers, &controller{name: name, zone: w.zones[i%len(w.zones)], public: public, mesh: mesh, configFile: filepath.Join(w.dir, name+".json")})
	}
	return nil
}

// writeConfig writes the settings file of a controller.
func (w *world) writeConfig(i int, stateAddr, cloudAddr string) error {
	var siblings []map[string]any
	for k, c := range w.controllers {
		if k != i {
			siblings = append(siblings, map[string]any{"host_name": c.name, "location": c.zone, "peer_addr": c.mesh})
		}
	}
	c := w.controllers[i]
	text, err := json.MarshalIndent(map[string]any{
		"host_name": c.name, "location": c.zone, "public_addr": c.public, "mesh_addr": c.mesh, "siblings": siblings,
		"endpoints": map[string]any{"cloud": cloudAddr, "state": stateAddr},
		"params": map[string]any{
			"count": controllerCount, "zones": w.zones, "teams": w.teams, "objectives": []any{},
			"workers":        map[string]any{"report_s": w.report.Seconds(), "lease_s": w.lease.Seconds(), "gang_wait_s": w.gangWait.Seconds(), "gang_peer_s": w.gangPeer.Seconds(), "cancel_s": w.cancel.Seconds()},
			"state":          map[string]any{"rps": w.stateRPS, "write_rps": w.stateWrites, "value_kb": w.valueKB, "txn_ops": w.txnOps},
			"cloud":          map[string]any{"rps": w.cloudRPS, "list_lag_s": w.listLag.Seconds()},
			"limits":         map[string]any{"core_share": 0.18, "ram_mb": 234.0, "fd_limit": 3000},
			"clock_error_ms": 100.0,
		},
	}, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(c.configFile, text, 0o600)
}

// start starts a controller's process. It must be called by the main goroutine.
func (w *world) start(c *controller) error {
	log, err := os.OpenFile(filepath.Join(w.dir, c.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c.log = log
	c.cmd = exec.Command(w.command[0], append(append([]string(nil), w.command[1:]...), c.configFile)...)
	c.cmd.Dir, c.cmd.Stderr = w.root, log
	level := os.Getenv("LOG_LEVEL")
	if level == "" {
		level = "info"
	}
	c.cmd.Env = append(os.Environ(), "LOG_LEVEL="+level)
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.cmd.Start(); err != nil {
		return err
	}
	exited, cmd := make(chan struct{}), c.cmd
	c.exited = exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	w.rec.printf("%s started, users at %s", c.name, c.public)
	return nil
}

// kill ends a controller's process.
func (w *world) kill(c *controller) {
	if c.cmd == nil {
		return
	}
	_ = c.cmd.Process.Kill()
	<-c.exited
	_ = c.log.Close()
	c.cmd = nil
}

// running returns an error if a controller's process has ended by itself.
func (w *world) running() error {
	for _, c := range w.controllers {
		if c.cmd == nil {
			continue
		}
		select {
		case <-c.exited:
			return fmt.Errorf("%s has ended by itself", c.name)
		default:
		}
	}
	return nil
}

// upload makes a job known to the machines, as its user does before the submission.
func (w *world) upload(j *job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[j.ID] = j
}

// jobOf returns the description of a job, or nil.
func (w *world) jobOf(id string) *job {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.jobs[id]
}

// nodes returns the addresses of the controllers by name.
func (w *world) nodes() map[string]string {
	out := map[string]string{}
	for _, c := range w.controllers {
		out[c.name] = c.public
	}
	return out
}

// tcpStream is an accepted connection as a transport.ServeConn takes it.
type tcpStream struct {
	net.Conn
	idle time.Duration
}

// SetIdleTimeout implements transport.Stream.
func (s *tcpStream) SetIdleTimeout(d time.Duration) { s.idle = d }

// Read implements transport.Stream.
func (s *tcpStream) Read(p []byte) (int, error) {
	if s.idle > 0 {
		_ = s.Conn.SetReadDeadline(time.Now().Add(s.idle))
	}
	return s.Conn.Read(p)
}

// serveStreams serves connections on a free port and returns its address.
func serveStreams(ctx context.Context, serve transport.ServeConn) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	context.AfterFunc(ctx, func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(ctx, &tcpStream{Conn: c})
			}()
		}
	}()
	return l.Addr().String(), nil
}

// serveHTTP serves a handler on a free port and returns its address.
func serveHTTP(h http.Handler) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}

// sleep waits, and reports whether the context still goes on.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// waitUntil waits until a condition holds, for at most d, and reports whether it does.
func waitUntil(ctx context.Context, d time.Duration, holds func() bool) bool {
	for deadline := time.Now().Add(d); time.Now().Before(deadline); {
		if holds() {
			return true
		}
		if !sleep(ctx, 50*time.Millisecond) {
			break
		}
	}
	return holds()
}
