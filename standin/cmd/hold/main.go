// Command hold opens client connections and keeps them idle:
//
//	hold -address IP:port -user ACCOUNT -key KEY -database ENTRY -connections N
//
// It prints "held N in T" when all connections are open, and keeps them until it is
// interrupted or -seconds have passed. The connections use several source addresses in
// 127.1.0.0/24, so that the ports of one address do not limit their number.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"os/signal"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/sassafrasshunt/sassafrasshunt/lib/duty"
)

const (
	// openers is the number of connections that are opened concurrently.
	openers = 32
	// connectionsPerSource is the number of connections from one source address,
	// which has about 28,000 ephemeral ports.
	connectionsPerSource = 5000
	// connectTimeout limits one connection attempt.
	connectTimeout = 20 * time.Second
	// defaultSeconds is the default length of a run that is not interrupted.
	defaultSeconds = 120
)

type options struct {
	address     string
	user        string
	key         string
	database    string
	connections int
}

func main() {
	var o options
	flag.StringVar(&o.address, "address", "", "`IP:port` of an instance")
	flag.StringVar(&o.user, "user", "", "client account")
	flag.StringVar(&o.key, "key", "", "key of the account")
	flag.StringVar(&o.database, "database", "", "catalogue `entry`")
	flag.IntVar(&o.connections, "connections", 1, "number of connections")
	seconds := flag.Float64("seconds", defaultSeconds, "end after that many seconds")
	flag.Parse()
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	ctx, stop := context.WithTimeout(ctx, time.Duration(*seconds*float64(time.Second)))
	defer stop()
	start := time.Now()
	conns, err := open(ctx, o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "hold:", err)
		os.Exit(1)
	}
	fmt.Printf("held %d in %s\n", len(conns), time.Since(start).Round(time.Millisecond))
	<-ctx.Done()
}

// open opens all connections and returns them, or the first error.
func open(ctx context.Context, o options) ([]*pgconn.PgConn, error) {
	conns := make([]*pgconn.PgConn, o.connections)
	errs := make(chan error, openers)
	var running duty.Group
	for first := range openers {
		running.Start("opener", func() {
			for i := first; i < o.connections; i += openers {
				conn, err := connect(ctx, o, i)
				if err != nil {
					errs <- err
					return
				}
				conns[i] = conn
			}
		})
	}
	running.Wait()
	close(errs)
	return conns, <-errs
}

// connect opens the connection with the given index.
func connect(ctx context.Context, o options, index int) (*pgconn.PgConn, error) {
	config, err := pgconn.ParseConfig("postgres://" + o.address + "/" + o.database + "?sslmode=disable")
	if err != nil {
		return nil, err
	}
	config.User = o.user
	config.Password = o.key
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 1, 0, byte(1+index/connectionsPerSource))}}
	config.DialFunc = dialer.DialContext
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	return pgconn.ConnectConfig(ctx, config)
}
