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
const stopBound = 35 * time.Second

// process is a started program.
type process struct {
	name string
	args []string
	log  string
	// env are variables beyond those of the test.
	env  []string
	cmd  *exec.Cmd
	done chan struct{}
}

// start runs a program of the build with its output in a file. A second start
// of the same name appends to the file.
func (f *fleet) start(name, program string, args ...string) (*process, error) {
	p := &process{name: name, args: append([]string{program}, args...), log: filepath.Join(f.dir, name+".log")}
	return p, p.run()
}

func (p *process) run() error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(filepath.Join(binaries, p.args[0]), p.args[1:]...)
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
func (p *process) signal(s syscall.Signal) error {
	err := p.cmd.Process.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		<-p.done
		text, _ := os.ReadFile(p.log)
		return fmt.Errorf("%s: %w (%s): %s", p.name, err, p.cmd.ProcessState, tail(string(text), 4000))
	}
	return err
}

// kill ends the process at once; a stopped process too.
func (p *process) kill() {
	_ = p.signal(syscall.SIGKILL)
	<-p.done
}

func (p *process) alive() bool {
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
	case <-time.After(stopBound):
		return fmt.Errorf("%s did not stop within %s", p.name, stopBound)
	}
}

// reserve returns an address that the kernel chose and that is free again.
func reserve() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// eventually repeats a check until it succeeds; the last error is returned
// after the bound.
func eventually(bound time.Duration, check func() error) error {
	end := time.Now().Add(bound)
	for {
		err := check()
		if err == nil || time.Now().After(end) {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
}
