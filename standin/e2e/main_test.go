// Package e2e tests the guarantees of the design with real processes: the
// platform stand-in, members and instances. Clients record the outcome of each
// operation, and a checker compares these outcomes with what the members ran.
package e2e

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binDir is the folder with the programs under test, which TestMain builds.
var binDir string

func TestMain(m *testing.M) {
	code, err := buildAndRun(m)
	if err != nil {
		fmt.Fprintln(os.Stderr, "e2e:", err)
	}
	os.Exit(code)
}

// buildAndRun builds the programs of the main module and of the stand-ins, runs
// the tests and returns their exit code.
func buildAndRun(m *testing.M) (int, error) {
	tempDir, err := os.MkdirTemp("", "sassafrasshunt-e2e-")
	if err != nil {
		return 1, err
	}
	defer os.RemoveAll(tempDir)
	binDir = tempDir
	root, err := filepath.Abs("../..")
	if err != nil {
		return 1, err
	}
	for moduleDir, packages := range map[string]string{
		root:                           "./cmd/...",
		filepath.Join(root, "standin"): "./cmd/...",
	} {
		build := exec.Command("go", "build", "-o", tempDir+"/", packages)
		build.Dir = moduleDir
		if out, err := build.CombinedOutput(); err != nil {
			return 1, fmt.Errorf("go build in %s: %w\n%s", moduleDir, err, out)
		}
	}
	flag.Parse()
	if err := flag.Set("test.parallel", maxParallel); err != nil {
		return 1, err
	}
	return m.Run(), nil
}

// maxParallel is the number of tests that run at a time. It is low because each
// test starts up to ten processes.
const maxParallel = "3"

// runParallel lets a test run in parallel with others. Only the flag
// -test.parallel limits their number: a separate semaphore deadlocks with the
// parallel subtests of testscript.
func runParallel(t *testing.T) {
	t.Parallel()
}
