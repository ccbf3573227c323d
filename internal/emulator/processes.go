package emulator

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// Processes are the controllers of a cluster as child processes. They are terminated with the
// parent, however it ends.
type Processes struct {
	Program  string // path of the amberdeal binary
	Level    string // their LOG_LEVEL
	Dir      string // of their logs
	Settings func(i int) string
	Tuning   string             // content of every controller's operators' file, if any
	Extra    func(i int) string // additional content for one controller, if set
	Metrics  func(i int) string // address at which each serves metrics

	ctx           context.Context
	startRequests chan func()
	mu            sync.Mutex
	procs         map[int]*exec.Cmd
	stopped       bool // all were terminated; no process is started any more
}

// Begin prepares the processes, which are terminated when the context ends.
func (p *Processes) Begin(ctx context.Context) {
	p.ctx, p.startRequests, p.procs = ctx, make(chan func()), map[int]*exec.Cmd{}
	go p.startLoop()
}

// startLoop starts processes, always on the same thread: the kernel kills them when that thread
// ends, however this process ends.
func (p *Processes) startLoop() {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for {
		select {
		case <-p.ctx.Done():
			return
		case start := <-p.startRequests:
			start()
		}
	}
}

// Log returns the path of a controller's log.
func (p *Processes) Log(i int) string { return filepath.Join(p.Dir, fmt.Sprintf("c-%d.log", i)) }

// Start starts a controller that does not run.
func (p *Processes) Start(i int) error {
	log, err := os.OpenFile(p.Log(i), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	tuning := filepath.Join(p.Dir, fmt.Sprintf("c-%d.ini", i))
	text := p.Tuning
	if p.Extra != nil {
		text += p.Extra(i)
	}
	if err := writeFileAtomic(tuning, []byte(text+"\n[metrics]\nlisten = "+p.Metrics(i)+"\n")); err != nil {
		return err
	}
	cmd := exec.Command(p.Program, "serve", "--config", p.Settings(i), "--settings", tuning)
	cmd.Stderr = log
	cmd.Env = append(os.Environ(), "LOG_LEVEL="+p.Level)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL} // Ctrl-C is this process's to deal with
	done := make(chan error, 1)
	select {
	case p.startRequests <- func() { done <- cmd.Start() }:
	case <-p.ctx.Done():
		return p.ctx.Err()
	}
	if err := <-done; err != nil {
		return err
	}
	p.mu.Lock()
	over := p.stopped
	if !over {
		p.procs[i] = cmd
	}
	p.mu.Unlock()
	if over { // meanwhile
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		return errProcessesStopped
	}
	return nil
}

// errProcessesStopped is returned once all processes were terminated.
var errProcessesStopped = errors.New("all controllers were ended")

// PID returns the process id of a controller, 0 if it does not run.
func (p *Processes) PID(i int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cmd := p.procs[i]; cmd != nil {
		return cmd.Process.Pid
	}
	return 0
}

// Kill terminates a controller with SIGKILL.
func (p *Processes) Kill(i int) {
	p.mu.Lock()
	cmd := p.procs[i]
	delete(p.procs, i)
	p.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
}

// KillNamed injects a crash: the controller is killed and started again after a while, 2 s by
// default.
func (p *Processes) KillNamed(name string, back time.Duration) error {
	i, err := controllerIndex(name)
	if err != nil {
		return err
	}
	p.Kill(i)
	time.AfterFunc(cmp.Or(back, defaultRestartDelay), func() {
		if p.ctx.Err() == nil {
			_ = p.Start(i)
		}
	})
	return nil
}

// PauseNamed suspends a controller, or lets it continue.
func (p *Processes) PauseNamed(name string, still bool) error {
	i, err := controllerIndex(name)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	sig := syscall.SIGCONT
	if still {
		sig = syscall.SIGSTOP
	}
	if cmd := p.procs[i]; cmd != nil {
		return cmd.Process.Signal(sig)
	}
	return errors.New(name + " does not run")
}

func controllerIndex(name string) (i int, err error) {
	if _, err = fmt.Sscanf(name, "c-%d", &i); err != nil {
		err = fmt.Errorf("%q is no controller", name)
	}
	return i, err
}

// Stop terminates all processes.
func (p *Processes) Stop() {
	p.mu.Lock()
	p.stopped = true
	var all []int
	for i := range p.procs {
		all = append(all, i)
	}
	p.mu.Unlock()
	for _, i := range all {
		p.Kill(i)
	}
}
