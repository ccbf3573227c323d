package scale

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"syscall"
)

// What a step requires at most, as first measured: the memory of a real controller, an agent and
// the blob store, and of an emulated worker and a running task in the emulator's process.
const (
	controllerBytes = 150 << 20
	agentBytes      = 60 << 20
	workerBytes     = 160 << 10
	taskBytes       = 8 << 10
	emulatorBytes   = 300 << 20
	workerSockets   = 3 // it listens, reports to a controller and is called by one
	linkSockets     = 6 // of each pair of controllers
	spareSockets    = 500
)

// maxProcesses bounds the processes of a step.
const maxProcesses = 300

// HostLimits is what this machine has for a run.
type HostLimits struct {
	MemoryBytes uint64 // in total, of which half may be used
	Sockets     uint64 // that this process may open
}

// ReadHostLimits returns what this machine has.
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
		return HostLimits{}, fmt.Errorf("reading the limit of open files: %w", err)
	}
	return HostLimits{MemoryBytes: kilobytes << 10, Sockets: limit.Cur}, nil
}

// CheckResources reports every step that requires more than the machine has, with what it requires.
func (p *Plan) CheckResources(m HostLimits) error {
	var faults []error
	for _, step := range p.Steps() {
		workers, controllers := uint64(step[Workers]), uint64(step[Controllers])
		agents := uint64(len(p.ActionsPerAgent))
		memory := emulatorBytes + workers*workerBytes + uint64(step[Workers]*step[Tasks])*taskBytes + controllers*controllerBytes + (agents+1)*agentBytes
		processes := controllers + agents + 2
		sockets := workers*workerSockets + controllers*controllers*linkSockets + spareSockets
		if memory > m.MemoryBytes/2 {
			faults = append(faults, fmt.Errorf("%v: memory: %d MB: must be at most %d MB, half of the machine's", step, memory>>20, m.MemoryBytes>>21))
		}
		if processes > maxProcesses {
			faults = append(faults, fmt.Errorf("%v: processes: %d: must be at most %d", step, processes, maxProcesses))
		}
		if sockets > m.Sockets {
			faults = append(faults, fmt.Errorf("%v: sockets: %d: must be at most %d, see ulimit -n", step, sockets, m.Sockets))
		}
	}
	return errors.Join(faults...)
}
