package scale

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"

	"amberdeal.example/amberdeal/internal/cas"
	"amberdeal.example/amberdeal/internal/emulator"
	"amberdeal.example/amberdeal/internal/reapi"
	"amberdeal.example/amberdeal/internal/simulator"
)

// actionDuration is how long each action of an agent takes.
const actionDuration = 30 * time.Second

const digestFunction = repb.DigestFunction_SHA256

// agentPool are real agents as processes, which execute real actions from a real blob store.
type agentPool struct {
	program, dir    string
	cluster         *emulator.Cluster
	config          *emulator.Config
	actionsPerAgent []int // how many actions each runs at once

	mu               sync.Mutex
	procs            map[string]*process // by machine type
	startErrors      error               // to start an agent
	blobStore        *process
	completedActions atomic.Int64 // actions
}

// process is a process that this program has started. It is ended by its id.
type process struct{ cmd *exec.Cmd }

// startProcess starts a process with its log in a file.
func startProcess(program, log string, args ...string) (*process, error) {
	f, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("opening the log of %s: %w", program, err)
	}
	defer f.Close()
	cmd := exec.Command(program, args...)
	cmd.Stderr, cmd.Stdout = f, io.Discard
	cmd.Env = append(os.Environ(), "LOG_LEVEL=error")
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // Ctrl-C is this program's to deal with
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("starting %s: %w", program, err)
	}
	return &process{cmd}, nil
}

// Kill implements simulator.Machine.
func (p *process) Kill() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

// agentMachineType is the machine type of an agent that runs that many actions at once.
func agentMachineType(actions int) string { return fmt.Sprintf("agent-%d", actions) }

// startMachine starts the agent of a machine; it returns nil for machines of other types, and where the
// agent could not be started, which startError then tells.
func (a *agentPool) startMachine(id, addr, typ, zone string, spot bool) simulator.Machine {
	var actions int
	if _, err := fmt.Sscanf(typ, "agent-%d", &actions); err != nil {
		return nil
	}
	p, err := a.startAgent(id, a.settings(id, addr, typ, zone, spot, actions))
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.startErrors = errors.Join(a.startErrors, err)
		return nil
	}
	a.procs[typ] = p
	return p
}

// startAgent starts the agent of a machine with its settings.
func (a *agentPool) startAgent(id, settings string) (*process, error) {
	path := filepath.Join(a.dir, id+".ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, fmt.Errorf("writing the settings of agent %s: %w", id, err)
	}
	p, err := startProcess(a.program, filepath.Join(a.dir, id+".log"), "agent", "--config", path)
	if err != nil {
		return nil, fmt.Errorf("agent %s: %w", id, err)
	}
	return p, nil
}

// startError tells which agents could not be started. An emulated machine runs in the place of each,
// so that what was measured of agents is void.
func (a *agentPool) startError() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.startErrors
}

// settings writes an agent's settings file.
func (a *agentPool) settings(id, addr, typ, zone string, spot bool, actions int) string {
	var text strings.Builder
	fmt.Fprintf(&text, "[machine]\nname = %s\ntype = %s\nzone = %s\nspot = %v\nlisten = %s\ncpus = %d\ngpus = 0\nmemory_gb = %d\n", id, typ, zone, spot, addr, actions, 4*actions)
	fmt.Fprintf(&text, "[workers]\nreport = %v\nlease = %v\n[actions]\ncas = %s\ndir = %s\n[controllers]\n", a.config.Workers.HeartbeatInterval, a.config.Workers.Lease, a.cluster.Blobs(), filepath.Join(a.dir, id))
	for i := range a.config.Controllers {
		fmt.Fprintf(&text, "c-%d = %s\n", i, a.cluster.Public(i))
	}
	return text.String()
}

// startBlobStore starts the blob store.
func (a *agentPool) startBlobStore(ctx context.Context) error {
	var err error
	a.blobStore, err = startProcess(a.program, filepath.Join(a.dir, "cas.log"), "cas", "--dir", filepath.Join(a.dir, "blobs"), "--listen", a.cluster.Blobs())
	if err != nil {
		return fmt.Errorf("blob store: %w", err)
	}
	for begun := time.Now(); ctx.Err() == nil; {
		conn, dialed := emulator.Dial(ctx, a.cluster.Blobs())
		if dialed == nil {
			return conn.Close()
		}
		if time.Since(begun) > 10*time.Second {
			return fmt.Errorf("the store of blobs did not come up: %w", dialed)
		}
		pause(ctx, 50*time.Millisecond)
	}
	return nil
}

// runActions has each agent execute as many actions at once as it has capacity for, until the context
// ends.
func (a *agentPool) runActions(ctx context.Context) error {
	blobs, err := cas.Dial(a.cluster.Blobs(), "")
	if err != nil {
		return fmt.Errorf("dialing the blob store: %w", err)
	}
	defer blobs.Close()
	var addrs []string
	for i := range a.config.Controllers {
		addrs = append(addrs, a.cluster.Builds(i))
	}
	front, err := reapi.Dial(addrs, "")
	if err != nil {
		return fmt.Errorf("dialing the controllers: %w", err)
	}
	defer front.Close()
	var group sync.WaitGroup
	for k, actions := range a.actionsPerAgent {
		for i := range actions {
			group.Go(func() {
				pause(ctx, actionDuration*time.Duration(i)/time.Duration(actions)) // not all at once
				for n := 0; ctx.Err() == nil; n++ {
					if err := execute(ctx, blobs, front.StartingAt(i), agentMachineType(actions), fmt.Sprintf("%d-%d-%d", k, i, n)); err != nil {
						pause(ctx, time.Second)
						continue
					}
					a.completedActions.Add(1)
				}
			})
		}
	}
	group.Wait()
	return a.startError()
}

// execute has an action executed on a machine of a type. The mark makes the action unique, so that
// no result is cached.
func execute(ctx context.Context, blobs *cas.Client, front *reapi.Client, typ, mark string) error {
	command := &repb.Command{Arguments: []string{"/bin/sh", "-c", fmt.Sprintf("sleep %g; echo %s > out", actionDuration.Seconds(), mark)}, OutputPaths: []string{"out"},
		EnvironmentVariables: []*repb.Command_EnvironmentVariable{{Name: "PATH", Value: "/usr/bin:/bin"}}}
	root, err := blobs.PutMessage(ctx, digestFunction, &repb.Directory{})
	if err != nil {
		return fmt.Errorf("storing the input directory: %w", err)
	}
	commandDigest, err := blobs.PutMessage(ctx, digestFunction, command)
	if err != nil {
		return fmt.Errorf("storing the command: %w", err)
	}
	action, err := blobs.PutMessage(ctx, digestFunction, &repb.Action{CommandDigest: commandDigest.Proto(), InputRootDigest: root.Proto(),
		Platform: &repb.Platform{Properties: []*repb.Platform_Property{{Name: "machine-type", Value: typ}}}})
	if err != nil {
		return fmt.Errorf("storing the action: %w", err)
	}
	if _, err := front.Execute(ctx, action, false, nil); err != nil {
		return fmt.Errorf("executing the action: %w", err)
	}
	return nil
}

// usages returns what the agents have used so far, by machine type.
func (a *agentPool) usages() map[string]processUsage {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make(map[string]processUsage)
	for typ, p := range a.procs {
		if used, err := readProcessUsage(p.cmd.Process.Pid); err == nil {
			out[typ] = used
		}
	}
	return out
}

// stop ends the blob store; agents end with the cloud that has started them.
func (a *agentPool) stop() {
	if a.blobStore != nil {
		a.blobStore.Kill()
	}
}
