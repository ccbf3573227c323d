package amberdeal

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// testPackages are packages for tests and experiments. Operators don't see their logs.
var testPackages = []string{
	"internal/simulator", "internal/emulator", "internal/dev", "internal/load",
	"internal/experiment", "internal/scale", "internal/simtest", "internal/goldentest",
}

// logLevels are the methods of slog.Logger whose messages must be documented for operators.
var logLevels = []string{"Info", "Warn", "Error"}

// logMessages returns the constant messages that a file logs at level info or above.
func logMessages(file *ast.File) (messages []string) {
	ast.Inspect(file, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		method, ok := call.Fun.(*ast.SelectorExpr)
		if !ok || !isLogger(method.X) {
			return true
		}
		position := 0
		switch {
		case method.Sel.Name == "Log": // ctx, level, message
			position = 2
		case !slices.Contains(logLevels, method.Sel.Name):
			return true
		}
		if len(call.Args) <= position {
			return true
		}
		if literal, ok := call.Args[position].(*ast.BasicLit); ok && literal.Kind == token.STRING {
			if message, err := strconv.Unquote(literal.Value); err == nil {
				messages = append(messages, message)
			}
		}
		return true
	})
	return messages
}

// isLogger reports whether an expression has a name that this project gives to loggers.
func isLogger(x ast.Expr) bool {
	switch e := x.(type) {
	case *ast.Ident:
		return strings.EqualFold(e.Name, "log") || e.Name == "slog"
	case *ast.SelectorExpr:
		return strings.EqualFold(e.Sel.Name, "log")
	}
	return false
}

// productLogMessages returns the log messages of all packages below internal except testPackages, each with a file
// that logs it.
func productLogMessages(t *testing.T) map[string]string {
	t.Helper()
	found := make(map[string]string)
	err := filepath.WalkDir("internal", func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && slices.Contains(testPackages, filepath.ToSlash(path)) {
			return fs.SkipDir
		}
		if d.IsDir() || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		for _, message := range logMessages(file) {
			found[message] = path
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return found
}

// TestLogMessagesAreDocumented checks that the table in docs/operations.md lists exactly the messages that are logged
// at level info or above.
func TestLogMessagesAreDocumented(t *testing.T) {
	page, err := os.ReadFile("docs/operations.md")
	if err != nil {
		t.Fatal(err)
	}
	_, table, _ := strings.Cut(string(page), "\n## Log messages\n")
	table, _, _ = strings.Cut(table, "\n## ")
	logged := productLogMessages(t)
	if len(logged) < 30 {
		t.Errorf("only %d log messages were found in the sources", len(logged))
	}
	for message, file := range logged {
		if !strings.Contains(table, "\n| `"+message+"` |") {
			t.Errorf("%q of %s is not in the table of log messages", message, file)
		}
	}
	for line := range strings.Lines(table) {
		message, isRow := strings.CutPrefix(line, "| `")
		message, _, _ = strings.Cut(message, "` |")
		if _, known := logged[message]; isRow && !known {
			t.Errorf("the table has %q, which nothing logs", message)
		}
	}
}
