package architecture

import (
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"os"
	"path"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const (
	checkedPackagesFile = "testdata/done.txt"
	maxShownHits        = 40 // maximum number of hits that a failure message lists per package
)

var shownPackage = flag.String("words", "", "package, not listed in testdata/done.txt, whose retired words are logged")

// exemptFiles maps each file that may use retired words to the reason for the exemption. Such a file translates between the
// names of this project and names that others define, such as the message kinds and fields of a protocol.
var exemptFiles = map[string]string{
	"internal/platform/decode.go": "it decodes messages of the operators' protocol",
	"internal/platform/encode.go": "it encodes messages of the operators' protocol",
}

// hit is a retired word found at a position.
type hit struct {
	Position token.Position
	Where    string // what contains the word: "comment", "identifier x", "test name ..."
	Word     retiredWord
}

func (h hit) String() string {
	return fmt.Sprintf("%s: %s has %q; instead: %s",
		h.Position, h.Where, strings.Trim(h.Word.Forms[0], ".*"), h.Word.Replacement)
}

// wordFinder collects the retired words that source files use.
type wordFinder struct {
	positions *token.FileSet
	generated map[string]bool // names that generated code declares; other code may use, but not declare, these names
	seen      map[string]bool // hits as text, so that each is reported only once
	hits      []hit
}

func TestPackagesUseNoRetiredWords(t *testing.T) {
	module := loadModule(t)
	checked := readCheckedPackages(t)
	generated := generatedNames(module)
	for _, packagePath := range slices.Sorted(maps.Keys(module.Packages)) {
		finder := &wordFinder{positions: module.Positions, generated: generated, seen: map[string]bool{}}
		for _, file := range module.Packages[packagePath] {
			if exemptFiles[file.Path] == "" && !file.Generated {
				finder.inspectFile(file)
			}
		}
		switch {
		case !checked[packagePath] && len(finder.hits) == 0:
			t.Logf("%-28s   0  clean: may be added to %s", packagePath, checkedPackagesFile)
		case !checked[packagePath]:
			t.Logf("%-28s %3d  %s", packagePath, len(finder.hits), summary(finder.hits))
			if packagePath == *shownPackage {
				t.Logf("\n%s", listing(finder.hits, len(finder.hits)))
			}
		case len(finder.hits) == 0:
			t.Logf("%-28s   0  checked", packagePath)
		default:
			t.Errorf("%s is listed in internal/architecture/%s, and has %d retired words:\n%s",
				packagePath, checkedPackagesFile, len(finder.hits), listing(finder.hits, maxShownHits))
		}
		delete(checked, packagePath)
	}
	for _, packagePath := range slices.Sorted(maps.Keys(checked)) {
		t.Errorf("%s lists %q, which is no package of the module", checkedPackagesFile, packagePath)
	}
}

func TestFilesExemptFromRetiredWordsExist(t *testing.T) {
	module := loadModule(t)
	for name := range exemptFiles {
		exists := func(file sourceFile) bool { return file.Path == name }
		if !slices.ContainsFunc(module.Packages[path.Dir(name)], exists) {
			t.Errorf("exemptFiles names %s, which is no Go file of the module; update exemptFiles if the file was renamed", name)
		}
	}
}

// readCheckedPackages reads the paths of the packages that must not use retired words.
func readCheckedPackages(t *testing.T) map[string]bool {
	t.Helper()
	text, err := os.ReadFile(checkedPackagesFile)
	if err != nil {
		t.Fatal(err)
	}
	checked := map[string]bool{}
	for line := range strings.Lines(string(text)) {
		if line = strings.TrimSpace(line); line != "" && !strings.HasPrefix(line, "#") {
			checked[line] = true
		}
	}
	return checked
}

// generatedNames returns the names that generated code declares, without their package, and without the type of a method or
// field.
func generatedNames(module goModule) map[string]bool {
	names := map[string]bool{}
	for _, files := range module.Packages {
		generated := slices.DeleteFunc(slices.Clone(files), func(file sourceFile) bool { return !file.Generated })
		for name := range declaredNames(generated) {
			names[name[strings.LastIndex(name, ".")+1:]] = true
		}
	}
	return names
}

func (f *wordFinder) inspectFile(file sourceFile) {
	f.record(file.Tree.Package, "the file's name", identifierTerms(strings.TrimSuffix(path.Base(file.Path), ".go")))
	for _, group := range file.Tree.Comments {
		for _, comment := range group.List {
			f.inspectComment(comment)
		}
	}
	used := f.generatedUses(file.Tree)
	ast.Inspect(file.Tree, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.Ident:
			if !used[node] {
				f.record(node.Pos(), "identifier "+node.Name, identifierTerms(node.Name))
			}
		case *ast.CallExpr:
			f.inspectCall(node)
		}
		return true
	})
}

// inspectComment checks a comment line by line, so that a hit in a block comment is reported at its own line.
func (f *wordFinder) inspectComment(comment *ast.Comment) {
	offset := 0
	for line := range strings.Lines(comment.Text) {
		f.record(comment.Pos()+token.Pos(offset), "comment", proseTerms(line))
		offset += len(line)
	}
}

// generatedUses returns the identifiers that use a name of generated code, as a selector or as a key in a composite literal.
func (f *wordFinder) generatedUses(tree *ast.File) map[*ast.Ident]bool {
	used := map[*ast.Ident]bool{}
	ast.Inspect(tree, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.SelectorExpr:
			used[node.Sel] = f.generated[node.Sel.Name]
		case *ast.KeyValueExpr:
			if key, isName := node.Key.(*ast.Ident); isName {
				used[key] = f.generated[key.Name]
			}
		}
		return true
	})
	return used
}

// inspectCall checks the first string literal among the arguments of a call that starts a sub-test or logs a message: the
// name of the sub-test, or the message.
func (f *wordFinder) inspectCall(call *ast.CallExpr) {
	method, isMethod := call.Fun.(*ast.SelectorExpr)
	if !isMethod {
		return
	}
	where := "log message"
	switch method.Sel.Name {
	case "Run":
		where = "test name"
	case "Debug", "Info", "Warn", "Error", "Log", "LogAttrs", "DebugContext", "InfoContext", "WarnContext", "ErrorContext":
		if isNotLogger(method.X) {
			return
		}
	default:
		return
	}
	for _, argument := range call.Args {
		literal, isLiteral := argument.(*ast.BasicLit)
		if !isLiteral || literal.Kind != token.STRING {
			continue
		}
		if text, err := strconv.Unquote(literal.Value); err == nil {
			f.record(literal.Pos(), where+" "+literal.Value, proseTerms(text))
		}
		return
	}
}

// isNotLogger reports whether a method's receiver is a test handle or package http, whose methods and functions share names
// with those of a logger.
func isNotLogger(receiver ast.Expr) bool {
	name, isName := receiver.(*ast.Ident)
	return isName && slices.Contains([]string{"t", "b", "f", "tb", "http"}, name.Name)
}

// record adds a hit for each retired word among the terms. The string where describes what contains the terms. Equal hits on one
// line are added only once.
func (f *wordFinder) record(at token.Pos, where string, terms []term) {
	position := f.positions.Position(at)
	position.Filename = strings.TrimPrefix(position.Filename, moduleRoot+"/")
	position.Column = 0
	for _, word := range findRetired(terms) {
		found := hit{position, where, word}
		if key := found.String(); !f.seen[key] {
			f.seen[key] = true
			f.hits = append(f.hits, found)
		}
	}
}

// summary returns the number of hits for each retired word, most frequent word first.
func summary(hits []hit) string {
	count := map[string]int{}
	for _, found := range hits {
		count[found.Word.Forms[0]]++
	}
	words := slices.SortedFunc(maps.Keys(count), func(a, b string) int {
		return 2*(count[b]-count[a]) + strings.Compare(a, b)
	})
	var text []string
	for _, word := range words {
		text = append(text, fmt.Sprintf("%s %d", word, count[word]))
	}
	return strings.Join(text, ", ")
}

// listing returns a text with the first hits, at most limit, one on each line, and the number of omitted hits, if any.
func listing(hits []hit, limit int) string {
	var lines []string
	for _, found := range hits[:min(len(hits), limit)] {
		lines = append(lines, "  "+found.String())
	}
	if more := len(hits) - limit; more > 0 {
		lines = append(lines, fmt.Sprintf("  and %d more", more))
	}
	return strings.Join(lines, "\n")
}

func TestRetiredWordsAreFound(t *testing.T) {
	cases := []struct{ name, source, want string }{
		{"identifier", "var toldWhen int", "x.go:3: told"},
		{"acronym in an identifier", "var httpTROUBLE, jamCount int", "x.go:3: trouble; x.go:3: jam"},
		{"stem", "var isWithdrawn bool", "x.go:3: withdraw*"},
		{"comment", "// It was thrown out.\nvar x int", "x.go:3: thrown out"},
		{"block comment", "/* One line.\nThe verdict. */\nvar x int", "x.go:4: verdict*"},
		{"hyphen in prose", "// a stand-in; they stand in the way\nvar x int", "x.go:3: stand-in"},
		{"phrase in an identifier", "var letIn int", "x.go:3: let in"},
		{
			"word with a standard sense", "// A sound proof for soundProxies and a sound server.\nvar sound, soundOne int",
			"x.go:3: sound proxies; x.go:3: sound server; x.go:4: .sound; x.go:4: .sound",
		},
		{
			"word within a compound", "// the ex-commander\nvar newWaterLine, FAREWELLBytes int",
			"x.go:3: commander; x.go:4: water line; x.go:4: farewell",
		},
		{"test name", `func f() { t.Run("the crowd", nil) }`, "x.go:3: crowd"},
		{"log message", `func f() { log.Log(ctx, level, "trouble", "told", 1) }`, "x.go:3: trouble"},
		{"declared name of generated code", "var Utility int", "x.go:3: utility"},
		{"used name of generated code", "var x = y.Utility + T{Utility: 1}.z", ""},
		{"quoted name", "// `utility` or \"jam\" or order.Withdraw\nvar x int", ""},
		{"standard sense", "// control flow, go mod tidy\nvar x int", ""},
		{"part of another word", "var heartbeat, bookkeeping, seating, jamb int", ""},
		{"test's own message", `func f() { t.Error("trouble") }`, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			positions := token.NewFileSet()
			tree, err := parser.ParseFile(positions, "x.go", "package x\n\n"+c.source+"\n", parser.ParseComments)
			if err != nil {
				t.Fatal(err)
			}
			finder := &wordFinder{positions: positions, generated: map[string]bool{"Utility": true}, seen: map[string]bool{}}
			finder.inspectFile(sourceFile{Path: "x.go", Tree: tree})
			var got []string
			for _, found := range finder.hits {
				got = append(got, found.Position.String()+": "+found.Word.Forms[0])
			}
			if strings.Join(got, "; ") != c.want {
				t.Errorf("found %q, want %q", got, c.want)
			}
		})
	}
}
