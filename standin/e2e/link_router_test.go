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

// linkRouter listens on a member's address in the catalogue and forwards each
// connection to the fault proxy's link of the instance that opened it. The router is
// needed because all instances read the same addresses from the catalogue but each
// has its own links.
type linkRouter struct {
	fleet *fleet
	// endpoint is the part of a link's name after the instance, such as
	// "member-0/sql".
	endpoint string
	// direct is the member's address without the fault proxy.
	direct   string
	listener net.Listener
	running  sync.WaitGroup
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

// routeLinks starts a link router for an address of a member and returns the
// address on which it listens.
func (f *fleet) routeLinks(endpoint, direct string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	r := &linkRouter{fleet: f, endpoint: endpoint, direct: direct, listener: l, conns: map[net.Conn]bool{}}
	f.linkRouters = append(f.linkRouters, r)
	r.running.Go(r.accept)
	return l.Addr().String(), nil
}

func (r *linkRouter) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	for c := range r.conns {
		_ = c.Close()
	}
	r.mu.Unlock()
	r.running.Wait()
}

func (r *linkRouter) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.running.Go(func() { r.forward(c) })
	}
}

func (r *linkRouter) forward(c net.Conn) {
	defer c.Close()
	instance, ok := r.fleet.ownerOf(c.RemoteAddr().(*net.TCPAddr).Port)
	if !ok {
		return
	}
	out, err := net.Dial("tcp", r.linkAddress(instance))
	if err != nil {
		return
	}
	r.track(c, out)
	var directions sync.WaitGroup
	directions.Go(func() { copyAndClose(out, c) })
	directions.Go(func() { copyAndClose(c, out) })
	directions.Wait()
	r.untrack(c, out)
}

// linkAddress returns the address of the instance's link to the endpoint. Other
// processes have no link and connect directly: members reach the primary that they
// follow by its address in the catalogue.
func (r *linkRouter) linkAddress(instance string) string {
	link := r.fleet.proxy.Address(instance + "/" + r.endpoint)
	if link.IsValid() {
		return link.String()
	}
	return r.direct
}

func (r *linkRouter) track(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		r.conns[c] = true
	}
}

func (r *linkRouter) untrack(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		delete(r.conns, c)
	}
}

func copyAndClose(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	_ = to.Close()
	_ = from.Close()
}

// ownerOf returns the name of the fleet's process that has a socket with this local
// port. It compares the socket's inode with the process's open descriptors.
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

// inodeOf returns the inode of the socket with a local port from /proc/net/tcp.
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
