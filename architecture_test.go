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

// declarations holds what a tree of Go sources declares: directories with sources, the sources
// themselves, and "package.Name" or "package.Type.Member" for everything at package level, tests
// included.
type declarations struct {
	dirs  map[string]bool
	files map[string]bool // by path, and by name alone
	names map[string]bool
}

// parseDeclarations reads all Go sources below the working directory.
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

// receiverPrefix gives "Type." for a method and nothing for a function.
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
	namedSetting  = regexp.MustCompile(`^(controllers\.NAME|cards\.ZONE)$`) // settings that are named after something
	testName      = regexp.MustCompile(`^Test[A-Z]\w*$`)
)

// missingNames lists the packages, Go files and Go names in code spans of a page that are not declared.
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

// historicalPages tell of the past in the names of their time.
var historicalPages = []string{"docs/CAPACITY.md", "docs/hunted.md", "docs/performance.md"}

// currentPages returns the README and the pages of the present.
func currentPages(t *testing.T) []string {
	t.Helper()
	all, err := filepath.Glob("docs/*.md")
	if err != nil {
		t.Fatal(err)
	}
	return slices.DeleteFunc(append(all, "README.md"), func(page string) bool { return slices.Contains(historicalPages, page) })
}

// TestNamesOnPagesExist keeps the pages that newcomers read in step with the code.
func TestNamesOnPagesExist(t *testing.T) {
	found := parseDeclarations(t)
	read := currentPages(t)
	for _, page := range read {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range missingNames(string(text), found) {
			t.Errorf("%s names %s, which does not exist", page, name)
		}
	}
	if !slices.Contains(read, "docs/architecture.md") || !slices.Contains(read, "README.md") {
		t.Errorf("the pages are %v", read)
	}
	planted := "`internal/nowhere` `store.Nothing` `leader.Leader.Nothing` `TestNothingAtAll` `internal/store/nothing.go` `nothing.go`"
	if missing := missingNames(planted, found); len(missing) != 6 {
		t.Errorf("of six names that do not exist the check sees %v", missing)
	}
}

// TestArchitecturePageListsAllPackages demands a line for each package that is not a helper of tests.
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
