package lint

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

const moduleRoot = "../.."

// TestExportedNamesHaveDocComments checks each exported function, method, type, constant and variable outside of tests. A
// constant or variable may have its comment on the same line or on its group; a type or function needs one of its own.
func TestExportedNamesHaveDocComments(t *testing.T) {
	files := token.NewFileSet()
	checked := 0
	for _, path := range sources(t) {
		file, err := parser.ParseFile(files, path, nil, parser.ParseComments)
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range exportedNames(file) {
			checked++
			if !name.documented {
				t.Errorf("%s: %s has no doc comment", files.Position(name.ident.Pos()), name.ident.Name)
			}
		}
	}
	if checked == 0 {
		t.Error("no exported name was checked")
	}
}

// TestMissingDocCommentsAreFound guards against a check that passes because it overlooks names without a comment.
func TestMissingDocCommentsAreFound(t *testing.T) {
	const source = `package p
// A is documented.
type A struct{}
type B struct{}
func (a A) C() {}
// D is documented.
func D() {}
const (
	E = 1 // documented
	F = 2
)
// All of the group.
var (
	G = 1
)
type h struct{}
func (h) I() {}
func j() {}
`
	file, err := parser.ParseFile(token.NewFileSet(), "p.go", source, parser.ParseComments)
	if err != nil {
		t.Fatal(err)
	}
	missing := ""
	for _, name := range exportedNames(file) {
		if !name.documented {
			missing += name.ident.Name
		}
	}
	if want := "BCFI"; missing != want {
		t.Errorf("names without a comment are %s, want %s", missing, want)
	}
}

// sources returns the paths of the module's Go files, without tests.
func sources(t *testing.T) (paths []string) {
	t.Helper()
	err := filepath.WalkDir(moduleRoot, func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && path != moduleRoot && strings.HasPrefix(entry.Name(), "."):
			return filepath.SkipDir
		case strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go"):
			paths = append(paths, path)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return paths
}

// exportedName is an exported name that a file declares.
type exportedName struct {
	ident      *ast.Ident
	documented bool
}

// exportedNames returns the exported names that a file declares.
func exportedNames(file *ast.File) (names []exportedName) {
	add := func(ident *ast.Ident, comments ...*ast.CommentGroup) {
		if !ident.IsExported() {
			return
		}
		name := exportedName{ident: ident}
		for _, comment := range comments {
			name.documented = name.documented || comment != nil
		}
		names = append(names, name)
	}
	for _, declaration := range file.Decls {
		switch declaration := declaration.(type) {
		case *ast.FuncDecl:
			add(declaration.Name, declaration.Doc)
		case *ast.GenDecl:
			for _, spec := range declaration.Specs {
				switch spec := spec.(type) {
				case *ast.TypeSpec:
					if declaration.Lparen.IsValid() { // a comment on the group does not document its types
						add(spec.Name, spec.Doc)
					} else {
						add(spec.Name, declaration.Doc, spec.Doc)
					}
				case *ast.ValueSpec:
					for _, ident := range spec.Names {
						add(ident, declaration.Doc, spec.Doc, spec.Comment)
					}
				}
			}
		}
	}
	return names
}
