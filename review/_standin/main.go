// Command review-standin plays one case of the review: it starts the controllers as the deploy file does, plays
// the users, the machines, the cloud and the state service on loopback, and judges by what these can see.
//
// The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not be run. With TROUBLE=0 in
// the environment the case runs without its disruption.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	maxDuration = 117 * time.Second // of a whole run, below the 120 s that a case may take
)

// errBroken is wrapped by the error of a case whose rule was broken.
var errBroken = errors.New("rule broken")

// brokenf returns an error that says how the rule was broken.
func brokenf(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errBroken, fmt.Sprintf(format, args...))
}

// caseFunc plays a case in a world. trouble says whether its disruption is wanted.
type caseFunc func(ctx context.Context, w *world, trouble bool) error

// cases holds the cases by name, with the settings of their worlds.
var cases = map[string]struct {
	settings func() settings
	play     caseFunc
}{
	"loose":  {looseSettings, playLoose},
	"cordon": {cordonSettings, playCordon},
	"avoid":  {avoidSettings, playAvoid},
}

// The kernel ends the controllers with the thread that started them, however this process ends: they are started
// on the main thread, which is locked here.
func init() { runtime.LockOSThread() }

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE ROOT RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

// run plays a case and returns the exit code.
func run(name, root, recordPath string) int {
	c, known := cases[name]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitNotRun
	}
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxDuration)
	defer cancel()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, trouble %t", name, trouble)
	w, err := newWorld(ctx, root, c.settings(), rec)
	if err != nil {
		rec.printf("not run: %v", err)
		return exitNotRun
	}
	defer w.stop()
	err = c.play(ctx, w, trouble)
	switch {
	case errors.Is(err, errBroken):
		rec.printf("%v", err)
		return exitBroken
	case err != nil:
		rec.printf("not run: %v", err)
		return exitNotRun
	}
	rec.printf("the rule held")
	return exitHeld
}
