package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/alecthomas/kong"

	"amberdeal.example/amberdeal/internal/goldentest"
)

// TestGoldenFlags: each command has the arguments and flags that it had, with the same defaults.
func TestGoldenFlags(t *testing.T) {
	parser, err := kong.New(new(cli), kong.Name("amberdeal"))
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	describe(&out, parser.Model.Node, "")
	goldentest.Text(t, "flags.txt", out.String())
}

func describe(out *strings.Builder, n *kong.Node, path string) {
	path += " " + n.Name
	fmt.Fprintf(out, "%s\n", path[1:])
	for _, a := range n.Positional {
		fmt.Fprintf(out, "\t%s required=%v default=%q enum=%q\n", a.Summary(), a.Required, a.Default, a.Enum)
	}
	for _, f := range n.Flags {
		fmt.Fprintf(out, "\t--%s short=%q kind=%s required=%v default=%q enum=%q env=%q\n", f.Name, f.Short, f.Target.Kind(), f.Required, f.Default, f.Enum, f.Envs)
	}
	for _, c := range n.Children {
		describe(out, c, path)
	}
}

// TestGoldenAccount: the JSON of state inspect and state verify has the fields that it had.
func TestGoldenAccount(t *testing.T) {
	goldentest.Check[stateSummary](t, "account.json", json.Marshal, json.Unmarshal)
}
