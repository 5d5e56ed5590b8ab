// Command standin-status serves the status endpoints of many idle members in one
// process. It is used to measure the load of many databases on an instance:
//
//	standin-status -databases N -port P
//	standin-status -databases N -port P -edits FILE
//
// Each member of each database listens on a loopback address of its own. It always
// reports the status of a healthy member in term 1 and serves no statements. With
// -edits, the command writes the catalogue edits that declare the databases and exits.
package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/netloop"
)

const (
	membersPerDatabase = 3
	// hostsPerBlock is the number of addresses with the same first three bytes.
	hostsPerBlock = 250
	// headerEnd separates the header of a message from its body.
	headerEnd = "\r\n\r\n"
	// pollTimeout is the longest wait for events.
	pollTimeout = time.Second
	// defaultSeconds is the default length of a run.
	defaultSeconds = 300
	// connections and slots are the catalogue's limits of each database and of
	// each member.
	connections = 35
	slots       = 2
)

// domains are the failure domains of the members of a database.
var domains = [membersPerDatabase]string{"jylland", "fyn", "sjaelland"}

// status is the status that an idle member reports.
type status struct {
	Member                string      `json:"member"`
	Role                  string      `json:"role"`
	Term                  uint64      `json:"term"`
	LogTerm               uint64      `json:"log_term"`
	Received              uint64      `json:"received"`
	Applied               uint64      `json:"applied"`
	PrimaryUnresponsiveMS int64       `json:"primary_silence_ms"`
	TermStarts            [][2]uint64 `json:"term_starts"`
	SlotsBusy             int         `json:"slots_busy"`
}

// member serves the connections to one address.
type member struct {
	result json.RawMessage
}

func main() {
	databases := flag.Int("databases", 1, "number of databases")
	port := flag.Int("port", 0, "status `port` at each member's address")
	edits := flag.String("edits", "", "`file` for the catalogue edit")
	seconds := flag.Float64("seconds", defaultSeconds, "end after that many seconds")
	flag.Parse()
	if err := run(*databases, *port, *edits, time.Duration(*seconds*float64(time.Second))); err != nil {
		fmt.Fprintln(os.Stderr, "standin-status:", err)
		os.Exit(1)
	}
}

func run(databases, port int, edits string, duration time.Duration) error {
	if edits != "" {
		return writeEdits(edits, databases, port)
	}
	loop, err := netloop.New()
	if err != nil {
		return err
	}
	for d := range databases {
		for m := range membersPerDatabase {
			idleMember, err := newMember(d, m)
			if err != nil {
				return err
			}
			_, err = loop.Listen(address(d, m, port), func(*netloop.Conn) netloop.Handler { return idleMember })
			if err != nil {
				return err
			}
		}
	}
	for end := time.Now().Add(duration); time.Now().Before(end); {
		if err := loop.Poll(pollTimeout); err != nil {
			return err
		}
	}
	return nil
}

func newMember(d, m int) (*member, error) {
	s := status{Member: memberID(d, m), Role: "replica", Term: 1, LogTerm: 1, Received: 1, Applied: 1, TermStarts: [][2]uint64{{1, 0}}}
	if m == 0 {
		s.Role = "primary"
	}
	result, err := json.Marshal(s)
	return &member{result: result}, err
}

func memberID(d, m int) string {
	return fmt.Sprintf("slope-%d-%d", d, m)
}

// address returns the IP:port of a member of a database.
func address(d, m, port int) string {
	n := d*membersPerDatabase + m
	return fmt.Sprintf("127.2.%d.%d:%d", n/hostsPerBlock, n%hostsPerBlock+1, port)
}

// Opened implements netloop.Handler.
func (s *member) Opened(*netloop.Conn) {}

// Flushed implements netloop.Handler.
func (s *member) Flushed(*netloop.Conn) {}

// Closed implements netloop.Handler.
func (s *member) Closed(*netloop.Conn, error) {}

// Data implements netloop.Handler. It responds to every complete request with the
// status, whatever the method.
func (s *member) Data(c *netloop.Conn) {
	for {
		body, used := decodeFrame(c.Buffered())
		if used == 0 {
			return
		}
		answer := s.response(body)
		c.Discard(used)
		c.Write(answer)
	}
}

// decodeFrame returns the body of the first message and the total length of the
// message; 0 when the message is incomplete.
func decodeFrame(b []byte) ([]byte, int) {
	start := bytes.Index(b, []byte(headerEnd))
	if start < 0 {
		return nil, 0
	}
	_, value, _ := bytes.Cut(b[:start], []byte("Content-Length: "))
	line, _, _ := bytes.Cut(value, []byte("\r\n"))
	n, err := strconv.Atoi(string(line))
	begin := start + len(headerEnd)
	if err != nil || len(b) < begin+n {
		return nil, 0
	}
	return b[begin : begin+n], begin + n
}

func (s *member) response(body []byte) []byte {
	var request struct {
		ID json.RawMessage `json:"id"`
	}
	_ = json.Unmarshal(body, &request)
	text := fmt.Sprintf(`{"jsonrpc":"2.0","id":%s,"result":%s}`, request.ID, s.result)
	return fmt.Appendf(nil, "Content-Length: %d%s%s", len(text), headerEnd, text)
}

// catalogueEdit is one edit of the catalogue in its JSON form.
type catalogueEdit struct {
	Op   string `json:"op"`
	Args any    `json:"args"`
}

type databaseArgs struct {
	Name        string       `json:"name"`
	Connections int          `json:"connections"`
	Members     []memberArgs `json:"members"`
}

type memberArgs struct {
	ID            string `json:"id"`
	Address       string `json:"address"`
	StatusAddress string `json:"status_address"`
	Domain        string `json:"domain"`
	Slots         int    `json:"slots"`
}

// writeEdits writes the edits that declare the databases. The members' addresses for
// statements have the port above the status port; nothing listens there.
func writeEdits(file string, databases, port int) error {
	list := make([]catalogueEdit, 0, databases)
	for d := range databases {
		args := databaseArgs{Name: fmt.Sprintf("slope-%d", d), Connections: connections}
		for m := range membersPerDatabase {
			args.Members = append(args.Members, memberArgs{
				ID: memberID(d, m), Address: address(d, m, port+1), StatusAddress: address(d, m, port), Domain: domains[m], Slots: slots,
			})
		}
		list = append(list, catalogueEdit{Op: "put_database", Args: args})
	}
	text, err := json.Marshal(list)
	if err != nil {
		return err
	}
	return os.WriteFile(file, text, 0o644)
}
