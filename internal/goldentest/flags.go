package goldentest

import (
	"fmt"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
)

// CheckFlags checks that the arguments and flags of a program's commands, and their defaults, have not changed: it
// compares the command line that kong derives from grammar, a pointer to a struct, with the golden file
// flags.txt. Help texts of flags are not compared.
func CheckFlags(t *testing.T, program string, grammar any) {
	t.Helper()
	parser, err := kong.New(grammar, kong.Name(program))
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	describe(&out, parser.Model.Node, "")
	CompareText(t, "flags.txt", out.String())
}

// describe writes the arguments and flags of a command and of its subcommands. path holds the names of its parents.
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
