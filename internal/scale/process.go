package scale

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// processUsage is the resource usage of a process so far.
type processUsage struct {
	cpuTime    time.Duration
	peakMemory uint64 // peak resident bytes
}

// clockTick is the unit of the CPU times in /proc/PID/stat (100 Hz on Linux).
const clockTick = 10 * time.Millisecond

// readProcessUsage reads the resource usage of a process from /proc.
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

// parseCPUTime returns the sum of user and system time from the content of /proc/PID/stat. Its second field is the
// process name in parentheses, which may itself contain spaces and parentheses.
func parseCPUTime(stat string) (time.Duration, error) {
	const user, system = 11, 12 // indices of the fields after the name
	_, rest, found := strings.Cut(stat[max(0, strings.LastIndexByte(stat, ')')):], " ")
	fields := strings.Fields(rest)
	if !found || len(fields) <= system {
		return 0, fmt.Errorf("not the content of /proc/PID/stat: %q", stat)
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

// parsePeakMemory returns the peak resident memory in bytes from the content of /proc/PID/status, or 0 if it is
// missing.
func parsePeakMemory(status string) uint64 {
	for _, line := range strings.Split(status, "\n") {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, _ := strconv.ParseUint(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")), 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}
