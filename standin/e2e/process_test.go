package e2e

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// stopBound is how long a process may take for its planned stop.
const stopTimeout = 35 * time.Second

// process is a started program.
type process struct {
	name    string
	args    []string
	logPath string
	// env are variables beyond those of the test.
	env  []string
	cmd  *exec.Cmd
	done chan struct{}
}

// start runs a program of the build with its output in a file. A second start
// of the same name appends to the file.
func (f *fleet) startProcess(name, program string, args ...string) (*process, error) {
	p := &process{name: name, args: append([]string{program}, args...), logPath: filepath.Join(f.dir, name+".log")}
	return p, p.start()
}

func (p *process) start() error {
	out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(filepath.Join(binDir, p.args[0]), p.args[1:]...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = append(os.Environ(), p.env...)
	if err := cmd.Start(); err != nil {
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

// signal sends a signal. For a process that has ended, the error tells how and
// shows the end of its log.
func (p *process) signal(sig syscall.Signal) error {
	err := p.cmd.Process.Signal(sig)
	if errors.Is(err, os.ErrProcessDone) {
		<-p.done
		text, _ := os.ReadFile(p.logPath)
		return fmt.Errorf("%s: %w (%s): %s", p.name, err, p.cmd.ProcessState, tail(string(text), 4000))
	}
	return err
}

// kill ends the process at once; a stopped process too.
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

// stop asks for a planned stop and waits for it.
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

// reserve returns an address that the kernel chose and that is free again.
func findFreeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// eventually repeats a check until it succeeds; the last error is returned
// after the bound.
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
