package e2e

import (
	"path/filepath"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a process of the tests in the group of the command that started the
// tests. When that command ends while a test has suspended a process, the kernel hangs up
// every process of the group.
func TestProcessGroup(t *testing.T) {
	runParallel(t)
	address, err := findFreeAddress()
	require.NoError(t, err)
	p := &process{name: "platform", args: []string{"standin-platform", "-listen", address}, logPath: filepath.Join(t.TempDir(), "platform.log")}
	require.NoError(t, p.start())
	defer p.kill()
	group, err := syscall.Getpgid(p.cmd.Process.Pid)
	require.NoError(t, err)
	require.Equal(t, p.cmd.Process.Pid, group)
}

// Guards against a process that is killed while its test runs, because the thread of another
// test that had started it ends: the kernel takes that for the death of the parent.
func TestProcessOutlivesTheThreadThatStartedIt(t *testing.T) {
	runParallel(t)
	// The main thread of the test process may be among the starting ones; it does not end.
	const processes = 4
	for range processes {
		p := startOnEndingThread(t)
		defer p.kill()
		select {
		case <-p.done:
			require.Fail(t, "the process has ended", "%s", p.cmd.ProcessState)
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// startOnEndingThread starts a process on a thread that ends afterwards.
func startOnEndingThread(t *testing.T) *process {
	address, err := findFreeAddress()
	require.NoError(t, err)
	p := &process{name: "platform", args: []string{"standin-platform", "-listen", address}, logPath: filepath.Join(t.TempDir(), "platform.log")}
	started := make(chan error)
	go func() {
		// The runtime ends the thread together with this goroutine.
		runtime.LockOSThread()
		started <- p.start()
	}()
	require.NoError(t, <-started)
	return p
}
