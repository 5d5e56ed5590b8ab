package instance

import (
	"context"
	"io"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/fleet"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/rpc"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// thinLinkPart is the number of bytes that a thin link passes on each thinLinkInterval.
const (
	thinLinkPart     = 8 << 10
	thinLinkInterval = 10 * time.Millisecond
)

// newThinLink passes connections on to an address at the rate of a thin link and returns its own
// address.
func newThinLink(t *testing.T, to string) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, listener.Close()) })
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp4", to)
			if err != nil {
				near.Close()
				continue
			}
			go copySlowly(far, near)
			go copySlowly(near, far)
		}
	}()
	return listener.Addr().String()
}

func copySlowly(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	for {
		if _, err := io.CopyN(to, from, thinLinkPart); err != nil {
			return
		}
		time.Sleep(thinLinkInterval)
	}
}

// largeConfiguration returns a configuration with many entries, whose names differ.
func largeConfiguration(entries int) *fleet.Configuration {
	c := &fleet.Configuration{Version: 9}
	for i := range entries {
		c.Entries = append(c.Entries, catalogue.Entry{
			Name: core.EntryName("entry" + strconv.Itoa(i*7919)), Database: "db" + core.DatabaseName(strconv.Itoa(i%8)), DeadlineMillis: 800 + i,
		})
	}
	return c
}

// startRPC runs an rpc duty until the test ends.
func startRPC(t *testing.T, duty *rpc.Duty, deliver func(rpc.Event) bool) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		duty.Run(deliver)
	}()
	t.Cleanup(func() {
		duty.Send(rpc.Stop{})
		<-ended
	})
}

func newRPC(t *testing.T) *rpc.Duty {
	duty, err := rpc.New(rpc.DefaultConfig())
	require.NoError(t, err)
	return duty
}

// Guards against followers that never get a large configuration over a thin link: the time limit of
// the call counted the transfer of the response, so that it was given up and asked for again
// without end.
func TestLargeFeedResponseArrivesOverAThinLink(t *testing.T) {
	feeder := newRPC(t)
	address, err := feeder.Listen("127.0.0.1:0")
	require.NoError(t, err)
	response := fleet.FeedResponse{Next: 4, Changes: []fleet.Change{{Revision: 4, Configuration: largeConfiguration(4000)}}}
	startRPC(t, feeder, func(event rpc.Event) bool {
		if r, ok := event.(rpc.Request); ok {
			feeder.Send(rpc.Reply{Conn: r.Conn, ID: r.ID, Result: response})
		}
		return true
	})
	follower := newRPC(t)
	client := newFeedClient(follower)
	startRPC(t, follower, func(event rpc.Event) bool {
		if r, ok := event.(rpc.Result); ok {
			client.complete(r.Tag.(feedTag), r)
		}
		return true
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	got, err := client.Feed(ctx, session.PeerAddress(newThinLink(t, address.String())), 3, 0)
	require.NoError(t, err)
	require.Equal(t, response, got)
}
