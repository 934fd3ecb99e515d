package architecture

import (
	"fmt"
	"go/ast"
	"go/token"
	"maps"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const architecturePage = "docs/architecture.md"

// checkedPages are the pages that describe the present state of the program. Pages that record past results, such as
// docs/results.md, are left out.
var checkedPages = []string{
	"README.md", "CONTRIBUTING.md", architecturePage, "docs/cores.md", "docs/design.md", "docs/measurements.md", "docs/oncall.md",
	"docs/operators.md", "docs/planner.md", "docs/platform.md", "docs/sharing.md", "docs/simulation.md",
}

var (
	codeSpan = regexp.MustCompile("`([^`\n]+)`")
	// packagePathPattern matches a code span that names a package of the module by its path.
	packagePathPattern = regexp.MustCompile(`^(cmd|internal|policy|proto)(/[a-z]+)*$`)
	// exportedNamePattern matches a code span that names an exported declaration: `planner.Core`, `planner.Core.Next`.
	exportedNamePattern = regexp.MustCompile(`^([a-z]+)\.([A-Z]\w*(\.[A-Z]\w*)?)$`)
	// filePathPattern matches a word that names a file or folder of the repository.
	filePathPattern = regexp.MustCompile(`^(\./)?(cmd|internal|policy|proto|docs|scenarios|deploy|tools)/[\w./-]*$`)
	testNamePattern = regexp.MustCompile(`\b(Test|Fuzz)[A-Z]\w*`)
	benchPattern    = regexp.MustCompile(`-bench ([A-Z]\w*)`)
	metricPattern   = regexp.MustCompile(`\blichenpick_([a-z_0-9]+)`)
)

func TestArchitecturePageNamesEveryPackage(t *testing.T) {
	module := loadModule(t)
	page := readPage(t, architecturePage)
	named := map[string]bool{}
	for _, span := range codeSpan.FindAllStringSubmatch(page, -1) {
		if packagePathPattern.MatchString(span[1]) {
			named[span[1]] = true
		}
	}
	for _, packagePath := range slices.Sorted(maps.Keys(named)) {
		if module.Packages[packagePath] == nil {
			t.Errorf("%s names `%s`, which is no package of the module", architecturePage, packagePath)
		}
	}
	for _, packagePath := range slices.Sorted(maps.Keys(module.Packages)) {
		if !named[packagePath] {
			t.Errorf("%s does not name `%s`; add a row that states its purpose to the table of packages", architecturePage, packagePath)
		}
	}
}

func TestArchitecturePageNamesExistingDeclarations(t *testing.T) {
	module := loadModule(t)
	declared := map[string]map[string]bool{} // declared names by package; key: the last element of the package's path
	for packagePath, files := range module.Packages {
		base := path.Base(packagePath)
		if declared[base] == nil {
			declared[base] = map[string]bool{}
		}
		maps.Copy(declared[base], declaredNames(files))
	}
	for index, line := range strings.Split(readPage(t, architecturePage), "\n") {
		for _, span := range codeSpan.FindAllStringSubmatch(line, -1) {
			name := exportedNamePattern.FindStringSubmatch(span[1])
			if name == nil || declared[name[1]] == nil {
				continue
			}
			if !declared[name[1]][name[2]] {
				t.Errorf("%s:%d: package %s has no %s; was it renamed?", architecturePage, index+1, name[1], name[2])
			}
		}
	}
}

func TestPagesNameExistingFilesTestsAndMetrics(t *testing.T) {
	module := loadModule(t)
	functions := testFunctions(module)
	literals := stringLiterals(module.Packages["internal/planner"])
	eachPageLine(t, func(place, line string) {
		for _, name := range namedPaths(line) {
			if _, err := os.Stat(filepath.Join(moduleRoot, name)); err != nil {
				t.Errorf("%s: there is no %s", place, name)
			}
		}
		for _, name := range testNamePattern.FindAllString(line, -1) {
			if !functions[name] {
				t.Errorf("%s: no package has %s; was it renamed?", place, name)
			}
		}
		for _, name := range benchPattern.FindAllStringSubmatch(line, -1) {
			isMatch := func(function string) bool { return strings.HasPrefix(function, "Benchmark"+name[1]) }
			if !slices.ContainsFunc(slices.Collect(maps.Keys(functions)), isMatch) {
				t.Errorf("%s: no package has Benchmark%s; was it renamed?", place, name[1])
			}
		}
		for _, name := range metricPattern.FindAllStringSubmatch(line, -1) {
			if !literals[name[1]] {
				t.Errorf("%s: internal/planner exports no metric %s; was it renamed?", place, name[0])
			}
		}
	})
}

func TestPagesUseNoRetiredWords(t *testing.T) {
	eachPageLine(t, func(place, line string) {
		for _, word := range findRetired(proseTerms(line)) {
			t.Errorf("%s: %q; instead: %s", place, word.Forms[0], word.Replacement)
		}
	})
}

// namedPaths returns the files, folders and packages that a line of a page names in code spans or in an indented command.
func namedPaths(line string) (paths []string) {
	var words []string
	for _, span := range codeSpan.FindAllStringSubmatch(line, -1) {
		words = append(words, strings.Fields(span[1])...)
	}
	if strings.HasPrefix(line, "    ") {
		words = append(words, strings.Fields(line)...)
	}
	for _, word := range words {
		if word = strings.TrimSuffix(word, "/..."); filePathPattern.MatchString(word) {
			paths = append(paths, word)
		}
	}
	return paths
}

// eachPageLine calls visit for each line of the checked pages, with its place as "page:line".
func eachPageLine(t *testing.T, visit func(place, line string)) {
	t.Helper()
	for _, page := range checkedPages {
		for index, line := range strings.Split(readPage(t, page), "\n") {
			visit(fmt.Sprintf("%s:%d", page, index+1), line)
		}
	}
}

// testFunctions returns the names of the functions and other declarations in test files.
func testFunctions(module goModule) map[string]bool {
	names := map[string]bool{}
	for _, files := range module.Packages {
		isNotTestFile := func(file sourceFile) bool { return !strings.HasSuffix(file.Path, "_test.go") }
		maps.Copy(names, declaredNames(slices.DeleteFunc(slices.Clone(files), isNotTestFile)))
	}
	return names
}

func stringLiterals(files []sourceFile) map[string]bool {
	literals := map[string]bool{}
	for _, file := range files {
		ast.Inspect(file.Tree, func(node ast.Node) bool {
			literal, isLiteral := node.(*ast.BasicLit)
			if !isLiteral || literal.Kind != token.STRING {
				return true
			}
			if text, err := strconv.Unquote(literal.Value); err == nil {
				literals[text] = true
			}
			return true
		})
	}
	return literals
}

func readPage(t *testing.T, page string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(moduleRoot, page))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}
