// Package e2e proves the guarantees of the design with real processes: the
// platform stand-in, members and instances, clients that record what they were
// answered, and a checker that compares it with what the members ran.
package e2e

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binaries is the folder of the programs under test.
var binDir string

func TestMain(m *testing.M) {
	code, err := buildAndRun(m)
	if err != nil {
		fmt.Fprintln(os.Stderr, "e2e:", err)
	}
	os.Exit(code)
}

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

// maxParallel bounds the scenarios that run at a time, because each has up to ten
// processes.
const maxParallel = "3"

// takeTurn lets a test run next to others. The testing package alone bounds
// their number: a bound of our own deadlocks with the parallel subtests of
// testscript.
func runParallel(t *testing.T) {
	t.Parallel()
}
