package scale

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// processUsage is what a process has used so far.
type processUsage struct {
	cpuTime    time.Duration
	peakMemory uint64 // peak resident bytes
}

// clockTick is the unit of CPU times in /proc.
const clockTick = 10 * time.Millisecond

// readProcessUsage reads what a process has used.
func readProcessUsage(pid int) (processUsage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return processUsage{}, fmt.Errorf("reading the CPU time of process %d: %w", pid, err)
	}
	processor, err := parseCPUTime(string(stat))
	if err != nil {
		return processUsage{}, fmt.Errorf("reading the CPU time of process %d: %w", pid, err)
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return processUsage{}, fmt.Errorf("reading the memory of process %d: %w", pid, err)
	}
	return processUsage{processor, parsePeakMemory(string(status))}, nil
}

// parseCPUTime returns the sum of user and system time of a line of /proc/PID/stat, whose second
// field is a name in parentheses that may contain anything.
func parseCPUTime(stat string) (time.Duration, error) {
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

// parsePeakMemory reads the peak resident memory from /proc/PID/status, 0 if it is missing.
func parsePeakMemory(status string) uint64 {
	for _, line := range strings.Split(status, "\n") {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, _ := strconv.ParseUint(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")), 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}
