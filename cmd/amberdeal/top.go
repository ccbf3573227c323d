package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"golang.org/x/term"

	"amberdeal.example/amberdeal/internal/top"
)

type topCmd struct {
	Addr  []string      `required:"" help:"Addresses at which controllers serve metrics ([metrics] listen), separated by commas."`
	Every time.Duration `default:"2s" help:"Refresh interval, on a terminal."`
	JSON  bool          `help:"Print one status as JSON."`
}

// Run shows the status of a running fleet until Ctrl-C, or prints it once if standard output is not a terminal.
func (t topCmd) Run() error {
	ctx, stop := interruptContext()
	defer stop()
	view := t.fetchStatuses(ctx)
	if t.JSON {
		out, err := json.MarshalIndent(view, "", "  ")
		if err != nil {
			return err
		}
		fmt.Println(string(out))
	} else if !term.IsTerminal(int(os.Stdout.Fd())) {
		view.Print(os.Stdout, nil)
	} else {
		for previous := (*top.View)(nil); ctx.Err() == nil; {
			var page bytes.Buffer
			view.Print(&page, previous)
			fmt.Printf("\x1b[H\x1b[2J%s\n%s, every %v; Ctrl-C ends\n", page.Bytes(), view.At.Format(time.TimeOnly), t.Every)
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(t.Every):
			}
			previous, view = view, t.fetchStatuses(ctx)
		}
		return nil
	}
	if len(view.Statuses) == 0 {
		return fmt.Errorf("none of %d controllers answered", len(t.Addr))
	}
	return nil
}

// fetchStatuses requests the status of every controller, one after another, each with a timeout of 2 s.
func (t topCmd) fetchStatuses(ctx context.Context) *top.View {
	view := &top.View{At: time.Now(), Statuses: map[string]*top.Status{}, Unreachable: map[string]string{}}
	caller := newCaller()
	for _, addr := range t.Addr {
		callCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		resp, err := caller.Call(callCtx, addr, "GET", top.Path, nil)
		cancel()
		var s top.Status
		switch {
		case err != nil:
			view.Unreachable[addr] = err.Error()
		case resp.Status != 200 || json.Unmarshal(resp.Body, &s) != nil:
			view.Unreachable[addr] = fmt.Sprintf("status %d: not a controller's metrics address", resp.Status)
		default:
			view.Statuses[addr] = &s
		}
	}
	return view
}
