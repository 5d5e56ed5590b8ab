package e2e

import (
	"path/filepath"
	"syscall"
	"testing"

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
