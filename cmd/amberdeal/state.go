package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/schollz/progressbar/v3"

	"amberdeal.example/amberdeal/internal/archive"
	"amberdeal.example/amberdeal/internal/snapshot"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

type stateCmd struct {
	Inspect stateInspect `cmd:"" help:"Print what is in the state service, by kind of key."`
	Export  stateExport  `cmd:"" help:"Write the whole state, as it is at one revision, into a file."`
	Verify  stateVerify  `cmd:"" help:"Check every invariant of the live state or of an export. Exits 1 if one does not hold."`
	Import  stateImport  `cmd:"" help:"Import an export into an empty state service."`
}

// liveState is the state service that a command reads or writes, as the settings name it.
type liveState struct{ settingsFlags }

// newClient returns a client of the state service whose request rate is limited to the share of one additional
// controller.
func (l liveState) newClient() (*store.Client, snapshot.Limits, error) {
	cfg, err := l.load()
	if err != nil {
		return nil, snapshot.Limits{}, err
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError}))
	c := store.NewClient(transport.TCPNetwork{Log: log}, cfg.StoreAddr, cfg.Store.RPS, cfg.Store.WriteRPS, store.EvenAllowance(len(cfg.Peers)+2), log)
	return c, snapshot.Limits{ValueBytes: cfg.Store.ValueBytes, TxnOps: cfg.Store.TxnOps}, nil
}

// interruptContext returns a context that ends at SIGTERM or SIGINT.
func interruptContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// newProgressBar returns a progress bar of keys on standard error, which is shown only on a terminal. total is 0
// or less if it is unknown.
func newProgressBar(total int, description string) *progressbar.ProgressBar {
	if total <= 0 {
		total = -1
	}
	out := io.Writer(os.Stderr)
	if info, err := os.Stderr.Stat(); err != nil || info.Mode()&os.ModeCharDevice == 0 {
		out = io.Discard
	}
	return progressbar.NewOptions(total, progressbar.OptionSetWriter(out), progressbar.OptionSetDescription(description), progressbar.OptionShowCount(),
		progressbar.OptionShowIts(), progressbar.OptionSetItsString("keys"), progressbar.OptionThrottle(100*time.Millisecond), progressbar.OptionClearOnFinish())
}

// export reads the whole live state, with its revision.
func (l liveState) export(ctx context.Context) ([]wire.KeyValue, uint64, error) {
	c, _, err := l.newClient()
	if err != nil {
		return nil, 0, err
	}
	bar := newProgressBar(0, "reading")
	defer bar.Finish()
	return snapshot.Export(ctx, c, func(keys int, _ string) { _ = bar.Set(keys) })
}

// stateSummary is the JSON output of inspect and verify.
type stateSummary struct {
	Revision     uint64                        `json:"revision"`
	Format       int                           `json:"format"`
	FencingToken uint64                        `json:"term"`
	LiveJobs     int                           `json:"live_jobs"`
	EndedJobs    int                           `json:"ended_jobs"`
	Kinds        map[string]*archive.KindStats `json:"kinds"`
	Problems     []string                      `json:"problems"`
}

func summarize(ctx context.Context, items []wire.KeyValue, revision uint64) stateSummary {
	summary := archive.Verify(ctx, items)
	if summary.Problems == nil {
		summary.Problems = []string{}
	}
	return stateSummary{revision, summary.Format, summary.FencingToken, summary.Live, summary.Ended, summary.Kinds, summary.Problems}
}

func (summary stateSummary) printJSON() error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(summary)
}

type stateInspect struct {
	liveState
	JSON bool `help:"Print JSON."`
}

// Run prints a summary of the live state.
func (s stateInspect) Run() error {
	ctx, stop := interruptContext()
	defer stop()
	items, revision, err := s.export(ctx)
	if err != nil {
		return err
	}
	summary := summarize(ctx, items, revision)
	if s.JSON {
		return summary.printJSON()
	}
	fmt.Printf("revision %d, format %d, fencing token %d: %d live jobs, %d ended ones\n\n", summary.Revision, summary.Format, summary.FencingToken, summary.LiveJobs, summary.EndedJobs)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "kind\tkeys\tjobs\tbytes\tlargest\toldest revision\tnewest\t")
	for _, kind := range slices.Sorted(maps.Keys(summary.Kinds)) {
		k := summary.Kinds[kind]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t\n", kind, k.Keys, k.Jobs, k.Bytes, k.Largest, k.Oldest, k.Newest)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if len(summary.Problems) > 0 {
		fmt.Printf("\n%d problems: amberdeal state verify names them\n", len(summary.Problems))
	}
	return nil
}

type stateExport struct {
	liveState
	File string `arg:"" help:"The file to write; it must not exist."`
}

// Run writes the export under a temporary name first, so that the file exists only once it is complete.
func (s stateExport) Run() error {
	if _, err := os.Stat(s.File); err == nil {
		return fmt.Errorf("%s: the file exists already", s.File)
	}
	ctx, stop := interruptContext()
	defer stop()
	items, revision, err := s.export(ctx)
	if err != nil {
		return err
	}
	f, err := os.CreateTemp(filepath.Dir(s.File), filepath.Base(s.File)+".part-*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	header := snapshot.Header{StateFormat: snapshot.StateFormat(items), Revision: revision, TakenAtUnix: time.Now().Unix()}
	if err := errors.Join(snapshot.Write(f, header, items), f.Sync(), f.Close()); err != nil {
		return err
	}
	if err := os.Rename(f.Name(), s.File); err != nil {
		return err
	}
	fmt.Printf("%s: %d keys at revision %d\n", s.File, len(items), revision)
	return nil
}

// readExport reads an export, with its header and checksum.
func readExport(name string) (snapshot.Header, []wire.KeyValue, string, error) {
	f, err := os.Open(name)
	if err != nil {
		return snapshot.Header{}, nil, "", err
	}
	defer f.Close()
	header, items, sum, err := snapshot.Read(f)
	if err != nil {
		return header, nil, "", fmt.Errorf("%s: %w", name, err)
	}
	return header, items, sum, nil
}

type stateVerify struct {
	Config   string `placeholder:"FILE" help:"The platform's settings (JSON), to verify the live state."`
	Settings string `placeholder:"FILE.ini" help:"The operators' own settings (INI)."`
	File     string `arg:"" optional:"" help:"An export, to verify that instead."`
	JSON     bool   `help:"Print JSON."`
}

// Run checks the invariants of an export or of the live state.
func (s stateVerify) Run() error {
	ctx, stop := interruptContext()
	defer stop()
	var items []wire.KeyValue
	var revision uint64
	switch {
	case (s.File == "") == (s.Config == ""):
		return settingsError{errors.New("state verify takes either --config, for the live state, or a file")}
	case s.File != "":
		header, read, _, err := readExport(s.File)
		if err != nil {
			return err
		}
		items, revision = read, header.Revision
	default:
		var err error
		if items, revision, err = (liveState{settingsFlags{s.Config, s.Settings}}).export(ctx); err != nil {
			return err
		}
	}
	summary := summarize(ctx, items, revision)
	if s.JSON {
		if err := summary.printJSON(); err != nil {
			return err
		}
	} else {
		for _, p := range summary.Problems {
			fmt.Println(p)
		}
	}
	if len(summary.Problems) > 0 {
		return fmt.Errorf("%d invariants do not hold at revision %d", len(summary.Problems), summary.Revision)
	}
	if !s.JSON {
		fmt.Printf("revision %d: %d keys, %d live jobs, %d ended ones, all as it should be\n", summary.Revision, len(items), summary.LiveJobs, summary.EndedJobs)
	}
	return nil
}

type stateImport struct {
	liveState
	File string `arg:"" help:"The export to import."`
}

// Run verifies the file before the import, so that nothing of an incomplete or invalid file is imported.
func (s stateImport) Run() error {
	ctx, stop := interruptContext()
	defer stop()
	header, items, sum, err := readExport(s.File)
	if err != nil {
		return err
	}
	if summary := archive.Verify(ctx, items); len(summary.Problems) > 0 {
		return fmt.Errorf("%s: %d invariants do not hold, the first: %s", s.File, len(summary.Problems), summary.Problems[0])
	}
	c, limits, err := s.newClient()
	if err != nil {
		return err
	}
	bar := newProgressBar(len(items), "writing")
	token, err := snapshot.Import(ctx, c, items, sum, limits, func(done, _ int) { _ = bar.Set(done) })
	_ = bar.Finish()
	if err != nil {
		return fmt.Errorf("%w (run it again with the same file to resume the import)", err)
	}
	fmt.Printf("%d keys of %s are imported, the next leader has a fencing token above %d\n", len(items), header.TakenAt().Format(time.RFC3339), token)
	return nil
}
