package scale

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// usage is what a process has used so far.
type usage struct {
	processor time.Duration
	memory    uint64 // peak resident bytes
}

// clockTick is the unit of CPU times in /proc.
const clockTick = 10 * time.Millisecond

// usageOf reads what a process has used.
func usageOf(pid int) (usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, fmt.Errorf("reading the CPU time of process %d: %w", pid, err)
	}
	processor, err := processorTime(string(stat))
	if err != nil {
		return usage{}, fmt.Errorf("reading the CPU time of process %d: %w", pid, err)
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return usage{}, fmt.Errorf("reading the memory of process %d: %w", pid, err)
	}
	return usage{processor, peakMemory(string(status))}, nil
}

// processorTime returns the sum of user and system time of a line of /proc/PID/stat, whose second
// field is a name in parentheses that may contain anything.
func processorTime(stat string) (time.Duration, error) {
	const user, system = 11, 12 // after the name
	_, rest, found := strings.Cut(stat[max(0, strings.LastIndexByte(stat, ')')):], " ")
	fields := strings.Fields(rest)
	if !found || len(fields) <= system {
		return 0, fmt.Errorf("not a process's line: %q", stat)
	}
	ticks := 0
	for _, i := range []int{user, system} {
		n, err := strconv.Atoi(fields[i])
		if err != nil {
			return 0, fmt.Errorf("field %d after the name: %w", i, err)
		}
		ticks += n
	}
	return time.Duration(ticks) * clockTick, nil
}

// peakMemory reads the peak resident memory from /proc/PID/status, 0 if it is missing.
func peakMemory(status string) uint64 {
	for _, line := range strings.Split(status, "\n") {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, _ := strconv.ParseUint(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")), 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}
