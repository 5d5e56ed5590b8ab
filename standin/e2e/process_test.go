package e2e

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// stopTimeout is how long a process may take to stop after SIGTERM.
const stopTimeout = 35 * time.Second

// process is a program of the build that was started.
type process struct {
	name    string
	args    []string
	logPath string
	// env holds variables that are added to the environment of the test.
	env  []string
	cmd  *exec.Cmd
	done chan struct{}
}

// startProcess starts a program of the build and writes its output to
// <name>.log. A second process of the same name appends to that file.
func (f *fleet) startProcess(name, program string, args ...string) (*process, error) {
	p := &process{name: name, args: append([]string{program}, args...), logPath: filepath.Join(f.dir, name+".log")}
	return p, p.start()
}

// start starts the program and a goroutine that closes done when it has ended.
func (p *process) start() error {
	out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(filepath.Join(binDir, p.args[0]), p.args[1:]...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = append(os.Environ(), p.env...)
	// The kernel hangs up the processes of an orphaned group with a stopped member. In a
	// group of its own the process is not hung up when the command that started the tests
	// ends, nor interrupted from the terminal, so it is killed with the test process.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := startOnSpawner(cmd); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	p.cmd, p.done = cmd, done
	return nil
}

// spawner starts processes on a thread that ends with the test process: the kernel sends a
// process its parent-death signal when the thread that started it ends.
var spawner = sync.OnceValue(func() chan<- func() {
	starts := make(chan func())
	go func() {
		runtime.LockOSThread()
		for start := range starts {
			start()
		}
	}()
	return starts
})

// startOnSpawner starts the command on the thread of spawner.
func startOnSpawner(cmd *exec.Cmd) error {
	result := make(chan error, 1)
	spawner() <- func() { result <- cmd.Start() }
	return <-result
}

// signal sends a signal. If the process has ended, the error contains its exit
// state and the end of its log.
func (p *process) signal(sig syscall.Signal) error {
	err := p.cmd.Process.Signal(sig)
	if errors.Is(err, os.ErrProcessDone) {
		<-p.done
		text, _ := os.ReadFile(p.logPath)
		return fmt.Errorf("%s: %w (%s): %s", p.name, err, p.cmd.ProcessState, tail(string(text), 4000))
	}
	return err
}

// kill sends SIGKILL, which also ends a suspended process, and waits for the end.
func (p *process) kill() {
	_ = p.signal(syscall.SIGKILL)
	<-p.done
}

func (p *process) isRunning() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// stop sends SIGTERM, which requests a graceful stop, and waits for the end.
func (p *process) stop() error {
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.done:
		return nil
	case <-time.After(stopTimeout):
		return fmt.Errorf("%s did not stop within %s", p.name, stopTimeout)
	}
}

// findFreeAddress returns a loopback address with a port that the kernel chose.
// The port is released again, so another process may take it before its use.
func findFreeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// eventually repeats a check until it succeeds. After the timeout it returns the
// last error.
func eventually(timeout time.Duration, check func() error) error {
	deadline := time.Now().Add(timeout)
	for {
		err := check()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
}
