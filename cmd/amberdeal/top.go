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

// Run shows a running fleet until Ctrl-C, or once where it does not write to a terminal.
func (t topCmd) Run() error {
	ctx, stop := interruptContext()
	defer stop()
	v := t.fetchStatuses(ctx)
	if t.JSON {
		out, err := json.MarshalIndent(v, "", "  ")
		if err != nil {
			return err
		}
		fmt.Println(string(out))
	} else if !term.IsTerminal(int(os.Stdout.Fd())) {
		v.Print(os.Stdout, nil)
	} else {
		for before := (*top.View)(nil); ctx.Err() == nil; {
			var page bytes.Buffer
			v.Print(&page, before)
			fmt.Printf("\x1b[H\x1b[2J%s\n%s, every %v; Ctrl-C ends\n", page.Bytes(), v.At.Format(time.TimeOnly), t.Every)
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(t.Every):
			}
			before, v = v, t.fetchStatuses(ctx)
		}
		return nil
	}
	if len(v.Statuses) == 0 {
		return fmt.Errorf("none of %d controllers answered", len(t.Addr))
	}
	return nil
}

// fetchStatuses asks every controller.
func (t topCmd) fetchStatuses(ctx context.Context) *top.View {
	v := &top.View{At: time.Now(), Statuses: map[string]*top.Status{}, Unreachable: map[string]string{}}
	caller := newCaller()
	for _, addr := range t.Addr {
		call, cancel := context.WithTimeout(ctx, 2*time.Second)
		resp, err := caller.Call(call, addr, "GET", top.Path, nil)
		cancel()
		var s top.Status
		switch {
		case err != nil:
			v.Unreachable[addr] = err.Error()
		case resp.Status != 200 || json.Unmarshal(resp.Body, &s) != nil:
			v.Unreachable[addr] = fmt.Sprintf("status %d: not a controller's metrics address", resp.Status)
		default:
			v.Statuses[addr] = &s
		}
	}
	return v
}
