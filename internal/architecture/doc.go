// Package architecture holds checks of the module as a whole, and no program code. The checks run with the other tests:
//
//   - docs/architecture.md names every package of the module, and every package and exported name that it names exists;
//   - files, tests and metrics that the checked pages name exist, and these pages use no retired words;
//   - packages listed in testdata/done.txt use no retired words.
//
// Retired words are terms that the project has replaced by others; words_test.go lists them. This command logs how many are
// left in each package:
//
//	go test ./internal/architecture -run Words -v
//
// With the flag -words and the path of a package that is not listed in testdata/done.txt, the command also logs the place of
// each retired word in that package.
package architecture
