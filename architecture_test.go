package amberdeal

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// declarations holds the directories with Go sources, the source files, and the package-level declarations of a
// source tree, tests included. Declarations are named "package.Name" or "package.Type.Member".
type declarations struct {
	dirs  map[string]bool
	files map[string]bool // by path and by base name
	names map[string]bool
}

// parseDeclarations parses all Go sources below the working directory.
func parseDeclarations(t *testing.T) declarations {
	t.Helper()
	found := declarations{dirs: map[string]bool{}, files: map[string]bool{}, names: map[string]bool{}}
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && (d.Name() == ".git" || d.Name() == "journal" || d.Name() == "target" || d.Name() == "tools") {
			return fs.SkipDir
		}
		if d.IsDir() || filepath.Ext(path) != ".go" {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		path = filepath.ToSlash(path)
		found.dirs[filepath.ToSlash(filepath.Dir(path))] = true
		found.files[path] = true
		found.files[filepath.Base(path)] = true
		found.add(file)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return found
}

// add records the package-level declarations of a file.
func (f declarations) add(file *ast.File) {
	pkg := strings.TrimSuffix(file.Name.Name, "_test")
	for _, decl := range file.Decls {
		switch d := decl.(type) {
		case *ast.FuncDecl:
			f.names[pkg+"."+receiverPrefix(d)+d.Name.Name] = true
		case *ast.GenDecl:
			for _, spec := range d.Specs {
				f.addSpec(pkg, spec)
			}
		}
	}
}

// addSpec records the variables, constants or type that a specification declares, and the fields of a struct type.
func (f declarations) addSpec(pkg string, spec ast.Spec) {
	switch s := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range s.Names {
			f.names[pkg+"."+name.Name] = true
		}
	case *ast.TypeSpec:
		f.names[pkg+"."+s.Name.Name] = true
		structType, ok := s.Type.(*ast.StructType)
		if !ok {
			return
		}
		for _, field := range structType.Fields.List {
			for _, name := range field.Names {
				f.names[pkg+"."+s.Name.Name+"."+name.Name] = true
			}
		}
	}
}

// receiverPrefix returns "Type." for a method and an empty string for a function.
func receiverPrefix(d *ast.FuncDecl) string {
	if d.Recv == nil {
		return ""
	}
	receiver := d.Recv.List[0].Type
	if pointer, ok := receiver.(*ast.StarExpr); ok {
		receiver = pointer.X
	}
	if generic, ok := receiver.(*ast.IndexExpr); ok {
		receiver = generic.X
	}
	if name, ok := receiver.(*ast.Ident); ok {
		return name.Name + "."
	}
	return ""
}

var (
	codeSpan      = regexp.MustCompile("`([^`\n]+)`")
	sourceFile    = regexp.MustCompile(`^[\w./-]+\.go$`)
	packagePath   = regexp.MustCompile(`^internal/[a-z/]+$`)
	qualifiedName = regexp.MustCompile(`^[a-z]+\.[A-Z]\w*(\.[A-Z]\w*)?$`)
	namedSetting  = regexp.MustCompile(`^(controllers\.NAME|cards\.ZONE)$`) // keys of settings that contain a name
	testName      = regexp.MustCompile(`^Test[A-Z]\w*$`)
)

// missingNames returns the packages, Go files and Go names in the code spans of a page that do not exist.
func missingNames(page string, found declarations) []string {
	tests := make(map[string]bool)
	for name := range found.names {
		_, base, _ := strings.Cut(name, ".")
		tests[base] = true
	}
	var missing []string
	for _, span := range codeSpan.FindAllStringSubmatch(page, -1) {
		code := span[1]
		switch {
		case packagePath.MatchString(code) && !isDirectory(code),
			sourceFile.MatchString(code) && !found.files[code],
			qualifiedName.MatchString(code) && !namedSetting.MatchString(code) && !found.names[code],
			testName.MatchString(code) && !tests[code]:
			missing = append(missing, code)
		}
	}
	return missing
}

func isDirectory(path string) bool {
	info, err := os.Stat(path)
	return err == nil && info.IsDir()
}

// historicalPages describe earlier versions and use the names of these.
var historicalPages = []string{"docs/CAPACITY.md", "docs/hunted.md", "docs/performance.md"}

// currentPages returns the README and all pages that describe the current version.
func currentPages(t *testing.T) []string {
	t.Helper()
	all, err := filepath.Glob("docs/*.md")
	if err != nil {
		t.Fatal(err)
	}
	return slices.DeleteFunc(append(all, "README.md"), func(page string) bool { return slices.Contains(historicalPages, page) })
}

// TestNamesOnPagesExist checks that the names of code in the documentation exist.
func TestNamesOnPagesExist(t *testing.T) {
	found := parseDeclarations(t)
	checked := currentPages(t)
	for _, page := range checked {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range missingNames(string(text), found) {
			t.Errorf("%s names %s, which does not exist", page, name)
		}
	}
	if !slices.Contains(checked, "docs/architecture.md") || !slices.Contains(checked, "README.md") {
		t.Errorf("the architecture page or the README is not among the pages checked: %v", checked)
	}
	unknownNames := "`internal/nowhere` `store.Nothing` `leader.Leader.Nothing` `TestNothingAtAll` `internal/store/nothing.go` `nothing.go`"
	if missing := missingNames(unknownNames, found); len(missing) != 6 {
		t.Errorf("of six names that do not exist, only these are reported as missing: %v", missing)
	}
}

// TestArchitecturePageListsAllPackages checks that the architecture page names every package below internal.
func TestArchitecturePageListsAllPackages(t *testing.T) {
	page, err := os.ReadFile("docs/architecture.md")
	if err != nil {
		t.Fatal(err)
	}
	for dir := range parseDeclarations(t).dirs {
		if strings.HasPrefix(dir, "internal/") && !strings.Contains(string(page), "`"+dir+"`") {
			t.Errorf("docs/architecture.md does not name %s", dir)
		}
	}
}
