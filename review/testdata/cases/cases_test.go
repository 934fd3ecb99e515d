// Package cases runs the scripts of the review's cases. It is not part of the default test run.
package cases

import (
	"os/exec"
	"testing"
)

// TestCases fails for each case whose rule was broken. It needs what the deploy file and review/build.sh build.
func TestCases(t *testing.T) {
	for _, number := range []string{"1", "2", "3"} {
		t.Run(number, func(t *testing.T) {
			output, err := exec.Command("../../" + number + "/run.sh").CombinedOutput()
			t.Logf("%s", output)
			if err != nil {
				t.Error(err)
			}
		})
	}
}
