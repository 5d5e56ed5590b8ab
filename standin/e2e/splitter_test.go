package e2e

import (
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
)

// splitter listens on a member's address in the catalogue and passes each
// connection to the fault proxy's link of the instance that opened it. All
// instances share one catalogue, so the address alone cannot name the link.
type splitter struct {
	fleet    *fleet
	member   string
	direct   string
	listener net.Listener
	running  sync.WaitGroup
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

func (f *fleet) split(member, direct string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &splitter{fleet: f, member: member, direct: direct, listener: l, conns: map[net.Conn]bool{}}
	f.splitters = append(f.splitters, s)
	s.running.Go(s.accept)
	return l.Addr().String(), nil
}

func (s *splitter) close() {
	_ = s.listener.Close()
	s.mu.Lock()
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.running.Wait()
}

func (s *splitter) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.running.Go(func() { s.forward(c) })
	}
}

func (s *splitter) forward(c net.Conn) {
	defer c.Close()
	owner, ok := s.fleet.ownerOf(c.RemoteAddr().(*net.TCPAddr).Port)
	if !ok {
		return
	}
	out, err := net.Dial("tcp", s.target(owner))
	if err != nil {
		return
	}
	s.track(c, out)
	var both sync.WaitGroup
	both.Go(func() { copyAndClose(out, c) })
	both.Go(func() { copyAndClose(c, out) })
	both.Wait()
	s.forget(c, out)
}

// target returns the link of an instance; members follow a primary by its
// address in the catalogue and reach it directly.
func (s *splitter) target(owner string) string {
	link := s.fleet.proxy.Address(owner + "/" + s.member)
	if link.IsValid() {
		return link.String()
	}
	return s.direct
}

func (s *splitter) track(conns ...net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range conns {
		s.conns[c] = true
	}
}

func (s *splitter) forget(conns ...net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range conns {
		delete(s.conns, c)
	}
}

func copyAndClose(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	_ = to.Close()
	_ = from.Close()
}

// ownerOf returns the name of the process that owns the socket with a local
// port, from the kernel's socket table.
func (f *fleet) ownerOf(port int) (string, bool) {
	inode, ok := inodeOf(port)
	if !ok {
		return "", false
	}
	want := "socket:[" + inode + "]"
	for _, p := range f.processes() {
		dir := fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)
		descriptors, err := os.ReadDir(dir)
		if err != nil {
			continue
		}
		for _, d := range descriptors {
			if link, err := os.Readlink(dir + "/" + d.Name()); err == nil && link == want {
				return p.name, true
			}
		}
	}
	return "", false
}

func inodeOf(port int) (string, bool) {
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return "", false
	}
	suffix := ":" + fmt.Sprintf("%04X", port)
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) < 10 || !strings.HasSuffix(fields[1], suffix) {
			continue
		}
		if inode, err := strconv.Atoi(fields[9]); err == nil && inode > 0 {
			return fields[9], true
		}
	}
	return "", false
}
