package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// client is a session of a client.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// answer is the answer to a query.
type answer struct {
	id   string
	rows []string
	mac  string
	// code is the code of an ERROR, with its text; "" on success.
	code  string
	state string
}

// errCut reports that the connection ended without a complete answer.
var errCut = errors.New("the connection ended without a complete answer")

var queryCount atomic.Uint64

// dial opens a session. It returns the code of an ERROR as an error.
func dial(address, database, key string) (*client, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, reader: bufio.NewReaderSize(conn, 1<<16)}
	a, err := c.exchange("STARTUP "+database+" "+key, 2*time.Second)
	if err == nil && a.code != "" {
		err = errors.New(a.code)
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return c, nil
}

// query sends a query under a new id and waits for its answer.
func (c *client) query(text string, timeout time.Duration) (answer, error) {
	id := fmt.Sprintf("q%06d", queryCount.Add(1))
	a, err := c.exchange("QUERY "+id+" "+text, timeout)
	a.id = id
	return a, err
}

func (c *client) exchange(line string, timeout time.Duration) (answer, error) {
	var a answer
	_ = c.conn.SetDeadline(time.Now().Add(timeout))
	if _, err := c.conn.Write([]byte(line + "\r\n")); err != nil {
		return a, fmt.Errorf("%w: %v", errCut, err)
	}
	for {
		text, err := c.reader.ReadString('\n')
		if err != nil {
			return a, fmt.Errorf("%w: %v", errCut, err)
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(text, "\r\n"), " ")
		switch word {
		case "DATAROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.mac = rest
		case "ERROR":
			a.code = rest
			if strings.HasPrefix(line, "STARTUP") {
				return a, nil
			}
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a, nil
		}
	}
}

func (c *client) close() { c.conn.Close() }
