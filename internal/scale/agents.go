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

// actionDuration is the run time of each action that an agent executes.
const actionDuration = 30 * time.Second

const digestFunction = repb.DigestFunction_SHA256

// agents runs real agents and a real blob store as processes. The agents execute real actions.
type agents struct {
	program, dir    string
	cluster         *emulator.Cluster
	clusterConfig   *emulator.Config
	actionsPerAgent []int // for each agent, the number of actions that it runs at once

	mu               sync.Mutex
	procs            map[string]*process // agents, by machine type
	startErrors      error               // agents that could not be started
	blobStore        *process
	completedActions atomic.Int64
}

// process is a child process of this program. It is killed by its process id.
type process struct{ cmd *exec.Cmd }

// startProcess starts a process and appends its standard error to a log file.
func startProcess(program, log string, args ...string) (*process, error) {
	f, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("opening the log of %s: %w", program, err)
	}
	defer f.Close()
	cmd := exec.Command(program, args...)
	cmd.Stderr, cmd.Stdout = f, io.Discard
	cmd.Env = append(os.Environ(), "LOG_LEVEL=error")
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // Ctrl-C signals this program only, which then kills its children
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

// agentMachineType returns the machine type of an agent that runs the given number of actions at once.
func agentMachineType(actions int) string { return fmt.Sprintf("agent-%d", actions) }

// startMachine starts the agent of a machine. It returns nil for a machine of another type, and if the agent
// could not be started; startError then returns the cause.
func (a *agents) startMachine(id, addr, machineType, zone string, spot bool) simulator.Machine {
	var actions int
	if _, err := fmt.Sscanf(machineType, "agent-%d", &actions); err != nil {
		return nil
	}
	p, err := a.startAgent(id, a.settings(id, addr, machineType, zone, spot, actions))
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.startErrors = errors.Join(a.startErrors, err)
		return nil
	}
	a.procs[machineType] = p
	return p
}

// startAgent writes the settings of an agent to a file and starts the agent.
func (a *agents) startAgent(id, settings string) (*process, error) {
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

// startError returns an error that names the agents that could not be started, or nil. An emulated machine
// replaces each of them, which makes the measurements of agents invalid.
func (a *agents) startError() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.startErrors
}

// settings returns the content of an agent's settings file.
func (a *agents) settings(id, addr, machineType, zone string, spot bool, actions int) string {
	var text strings.Builder
	fmt.Fprintf(&text, "[machine]\nname = %s\ntype = %s\nzone = %s\nspot = %v\nlisten = %s\ncpus = %d\ngpus = 0\nmemory_gb = %d\n", id, machineType, zone, spot, addr, actions, 4*actions)
	fmt.Fprintf(&text, "[workers]\nreport = %v\nlease = %v\n[actions]\ncas = %s\ndir = %s\n[controllers]\n", a.clusterConfig.Workers.HeartbeatInterval, a.clusterConfig.Workers.Lease, a.cluster.BlobStoreAddr(), filepath.Join(a.dir, id))
	for i := range a.clusterConfig.Controllers {
		fmt.Fprintf(&text, "c-%d = %s\n", i, a.cluster.PublicAddr(i))
	}
	return text.String()
}

// startBlobStore starts the blob store and waits until it accepts connections.
func (a *agents) startBlobStore(ctx context.Context) error {
	var err error
	a.blobStore, err = startProcess(a.program, filepath.Join(a.dir, "cas.log"), "cas", "--dir", filepath.Join(a.dir, "blobs"), "--listen", a.cluster.BlobStoreAddr())
	if err != nil {
		return fmt.Errorf("blob store: %w", err)
	}
	for begun := time.Now(); ctx.Err() == nil; {
		conn, dialErr := emulator.Dial(ctx, a.cluster.BlobStoreAddr())
		if dialErr == nil {
			return conn.Close()
		}
		if time.Since(begun) > 10*time.Second {
			return fmt.Errorf("the blob store accepts no connections after 10 s: %w", dialErr)
		}
		pause(ctx, 50*time.Millisecond)
	}
	return nil
}

// runActions keeps each agent busy with as many actions at once as it has capacity for, until the context ends.
func (a *agents) runActions(ctx context.Context) error {
	blobs, err := cas.Dial(a.cluster.BlobStoreAddr(), "")
	if err != nil {
		return fmt.Errorf("dialing the blob store: %w", err)
	}
	defer blobs.Close()
	var addrs []string
	for i := range a.clusterConfig.Controllers {
		addrs = append(addrs, a.cluster.RemoteExecutionAddr(i))
	}
	executor, err := reapi.Dial(addrs, "")
	if err != nil {
		return fmt.Errorf("dialing the controllers: %w", err)
	}
	defer executor.Close()
	var group sync.WaitGroup
	for agent, actions := range a.actionsPerAgent {
		for i := range actions {
			group.Go(func() {
				pause(ctx, actionDuration*time.Duration(i)/time.Duration(actions)) // spreads the starts over one actionDuration
				for n := 0; ctx.Err() == nil; n++ {
					if err := execute(ctx, blobs, executor.StartingAt(i), agentMachineType(actions), fmt.Sprintf("%d-%d-%d", agent, i, n)); err != nil {
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

// execute executes an action on a machine of a type. The nonce makes the action unique, so that no cached result is
// returned.
func execute(ctx context.Context, blobs *cas.Client, executor *reapi.Client, machineType, nonce string) error {
	command := &repb.Command{Arguments: []string{"/bin/sh", "-c", fmt.Sprintf("sleep %g; echo %s > out", actionDuration.Seconds(), nonce)}, OutputPaths: []string{"out"},
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
		Platform: &repb.Platform{Properties: []*repb.Platform_Property{{Name: "machine-type", Value: machineType}}}})
	if err != nil {
		return fmt.Errorf("storing the action: %w", err)
	}
	if _, err := executor.Execute(ctx, action, false, nil); err != nil {
		return fmt.Errorf("executing the action: %w", err)
	}
	return nil
}

// usages returns the resource usage of the agents so far, by machine type.
func (a *agents) usages() map[string]processUsage {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make(map[string]processUsage)
	for machineType, p := range a.procs {
		if used, err := readProcessUsage(p.cmd.Process.Pid); err == nil {
			out[machineType] = used
		}
	}
	return out
}

// stop kills the blob store. The agents are killed by the emulated cloud that started them.
func (a *agents) stop() {
	if a.blobStore != nil {
		a.blobStore.Kill()
	}
}
