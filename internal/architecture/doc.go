// Package architecture holds checks of the module as a whole, and no program code. They run with the other tests:
//
//   - docs/architecture.md names every package of the module, and every package and exported name that it names exists;
//   - files, tests and metrics that the checked pages name exist, and these pages are free of the retired vocabulary;
//   - packages listed in testdata/done.txt are free of the project's retired vocabulary (words_test.go has the list).
//
// The number of retired words in every package is logged by
//
//	go test ./internal/architecture -run Words -v
//
// and the places in one package with -words internal/planner added.
package architecture
