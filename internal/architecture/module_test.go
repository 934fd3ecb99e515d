package architecture

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path"
	"path/filepath"
	"strings"
	"testing"
)

// moduleRoot is the module's root directory, relative to the directory of this package.
const moduleRoot = "../.."

// sourceFile is a parsed Go file of the module.
type sourceFile struct {
	Path      string // path of the file, relative to the module's root, with slashes
	Tree      *ast.File
	Generated bool
}

// goModule holds all Go files of the module by package path, which is relative to the module's root: "internal/planner".
type goModule struct {
	Positions *token.FileSet
	Packages  map[string][]sourceFile
}

// loadModule parses the Go files of the module. It skips hidden directories, testdata and nested modules.
func loadModule(t *testing.T) goModule {
	t.Helper()
	module := goModule{Positions: token.NewFileSet(), Packages: map[string][]sourceFile{}}
	err := filepath.WalkDir(moduleRoot, func(name string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && isOutsideModule(name, entry.Name()):
			return filepath.SkipDir
		case entry.IsDir() || filepath.Ext(name) != ".go":
			return nil
		}
		return module.parse(name)
	})
	if err != nil {
		t.Fatalf("reading the module: %v", err)
	}
	return module
}

func isOutsideModule(name, base string) bool {
	if name == moduleRoot {
		return false
	}
	nested, err := filepath.Glob(filepath.Join(name, "go.mod"))
	return err != nil || len(nested) > 0 || base == "testdata" || strings.HasPrefix(base, ".")
}

func (m goModule) parse(name string) error {
	relative, err := filepath.Rel(moduleRoot, name)
	if err != nil {
		return err
	}
	tree, err := parser.ParseFile(m.Positions, name, nil, parser.ParseComments)
	if err != nil {
		return err
	}
	file := sourceFile{Path: filepath.ToSlash(relative), Tree: tree, Generated: ast.IsGenerated(tree)}
	packagePath := path.Dir(file.Path)
	m.Packages[packagePath] = append(m.Packages[packagePath], file)
	return nil
}

// declaredNames returns the names that files declare at package level, exported or not: types, functions, variables and
// constants by their name, methods and fields of a type as "Type.Name".
func declaredNames(files []sourceFile) map[string]bool {
	names := map[string]bool{}
	for _, file := range files {
		for _, declaration := range file.Tree.Decls {
			switch declared := declaration.(type) {
			case *ast.FuncDecl:
				names[receiverPrefix(declared)+declared.Name.Name] = true
			case *ast.GenDecl:
				for _, spec := range declared.Specs {
					addSpecNames(names, spec)
				}
			}
		}
	}
	return names
}

func receiverPrefix(function *ast.FuncDecl) string {
	if function.Recv == nil {
		return ""
	}
	receiver := function.Recv.List[0].Type
	for {
		switch inner := receiver.(type) {
		case *ast.StarExpr:
			receiver = inner.X
		case *ast.IndexExpr:
			receiver = inner.X
		case *ast.Ident:
			return inner.Name + "."
		default:
			return ""
		}
	}
}

func addSpecNames(names map[string]bool, spec ast.Spec) {
	switch declared := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range declared.Names {
			names[name.Name] = true
		}
	case *ast.TypeSpec:
		names[declared.Name.Name] = true
		for _, member := range typeMembers(declared.Type) {
			for _, name := range member.Names {
				names[declared.Name.Name+"."+name.Name] = true
			}
		}
	}
}

func typeMembers(declared ast.Expr) []*ast.Field {
	switch members := declared.(type) {
	case *ast.StructType:
		return members.Fields.List
	case *ast.InterfaceType:
		return members.Methods.List
	}
	return nil
}
