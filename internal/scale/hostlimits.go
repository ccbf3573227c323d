package scale

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"syscall"
)

// Upper bounds of what a step requires, from first measurements: the memory of a real controller, of an agent or
// the blob store, and of an emulated worker and a running task in the emulator's process.
const (
	controllerBytes = 150 << 20
	agentBytes      = 60 << 20
	workerBytes     = 160 << 10
	taskBytes       = 8 << 10
	emulatorBytes   = 300 << 20
	workerSockets   = 3 // a listener, a connection to a controller and one from a controller
	linkSockets     = 6 // for each ordered pair of controllers
	spareSockets    = 500
)

// maxProcesses is the maximum number of processes of a step.
const maxProcesses = 300

// HostLimits are the resources of the machine that a scale run uses.
type HostLimits struct {
	MemoryBytes uint64 // total memory, half of which a step may use
	Sockets     uint64 // maximum number of sockets that this process may open
}

// ReadHostLimits returns the limits of the machine that this process runs on.
func ReadHostLimits() (HostLimits, error) {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return HostLimits{}, fmt.Errorf("reading the machine's memory: %w", err)
	}
	var kilobytes uint64
	if _, err := fmt.Fscanf(bytes.NewReader(text), "MemTotal: %d kB", &kilobytes); err != nil {
		return HostLimits{}, fmt.Errorf("parsing /proc/meminfo: %w", err)
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return HostLimits{}, fmt.Errorf("reading the limit on open files: %w", err)
	}
	return HostLimits{MemoryBytes: kilobytes << 10, Sockets: limit.Cur}, nil
}

// CheckResources returns an error that lists every step that requires more than the machine has, with the amount
// required.
func (p *Plan) CheckResources(limits HostLimits) error {
	var errs []error
	for _, step := range p.Steps() {
		workers, controllers := uint64(step[Workers]), uint64(step[Controllers])
		agents := uint64(len(p.ActionsPerAgent))
		memory := emulatorBytes + workers*workerBytes + uint64(step[Workers]*step[Tasks])*taskBytes + controllers*controllerBytes + (agents+1)*agentBytes
		processes := controllers + agents + 2
		sockets := workers*workerSockets + controllers*controllers*linkSockets + spareSockets
		if memory > limits.MemoryBytes/2 {
			errs = append(errs, fmt.Errorf("%v: memory: %d MB: must be at most %d MB, half of the machine's", step, memory>>20, limits.MemoryBytes>>21))
		}
		if processes > maxProcesses {
			errs = append(errs, fmt.Errorf("%v: processes: %d: must be at most %d", step, processes, maxProcesses))
		}
		if sockets > limits.Sockets {
			errs = append(errs, fmt.Errorf("%v: sockets: %d: must be at most %d, see ulimit -n", step, sockets, limits.Sockets))
		}
	}
	return errors.Join(errs...)
}
