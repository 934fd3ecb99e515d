package architecture

import (
	"maps"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

const architecturePage = "docs/architecture.md"

var (
	codeSpan = regexp.MustCompile("`([^`\n]+)`")
	// packagePathForm is a code span that names a package of the module by its path.
	packagePathForm = regexp.MustCompile(`^(cmd|internal|policy|proto)(/[a-z]+)*$`)
	// exportedNameForm is a code span that names something that a package exports: `planner.Core`, `planner.Core.Next`.
	exportedNameForm = regexp.MustCompile(`^([a-z]+)\.([A-Z]\w*(\.[A-Z]\w*)?)$`)
)

func TestArchitecturePageNamesEveryPackage(t *testing.T) {
	module := loadModule(t)
	page := readPage(t)
	named := map[string]bool{}
	for _, span := range codeSpan.FindAllStringSubmatch(page, -1) {
		if packagePathForm.MatchString(span[1]) {
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
			t.Errorf("%s does not name `%s`; add a line with its one job to the table of packages", architecturePage, packagePath)
		}
	}
}

func TestArchitecturePageNamesExistingDeclarations(t *testing.T) {
	module := loadModule(t)
	declared := map[string]map[string]bool{} // by the last part of the package's path, as pages write it
	for packagePath, files := range module.Packages {
		base := path.Base(packagePath)
		if declared[base] == nil {
			declared[base] = map[string]bool{}
		}
		maps.Copy(declared[base], exportedNames(files))
	}
	for number, line := range strings.Split(readPage(t), "\n") {
		for _, span := range codeSpan.FindAllStringSubmatch(line, -1) {
			name := exportedNameForm.FindStringSubmatch(span[1])
			if name == nil || declared[name[1]] == nil {
				continue
			}
			if !declared[name[1]][name[2]] {
				t.Errorf("%s:%d: package %s has no %s; was it renamed?", architecturePage, number+1, name[1], name[2])
			}
		}
	}
}

func readPage(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(moduleRoot, architecturePage))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}
