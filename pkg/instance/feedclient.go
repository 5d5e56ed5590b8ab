package instance

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/fleet"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/relay"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/rpc"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// feedTag matches a feeder's response to its request.
type feedTag struct{ requestID uint64 }

// feedResult is the encoded response of a feeder, or the error of the request.
type feedResult struct {
	requestID uint64
	text      []byte
	err       error
}

// feedResultCapacity is the capacity of the result ring: it holds the result of
// the current request and late results of abandoned ones.
const feedResultCapacity = 16

// feedClient requests store changes from feeders for the watcher duty, which waits
// for each response.
type feedClient struct {
	rpc     *rpc.Duty
	results *ring.Ring[feedResult]
	signal  *ring.Signal
	// requestID is the ID of the latest request; only the watcher uses it.
	requestID uint64
}

var _ fleet.Feeder = (*feedClient)(nil)

// newFeedClient returns a client that sends its requests through d.
func newFeedClient(d *rpc.Duty) *feedClient {
	signal := ring.NewSignal()
	return &feedClient{rpc: d, results: ring.New[feedResult](feedResultCapacity, signal), signal: signal}
}

// Feed implements fleet.Feeder. It requests the changes after a revision and waits
// for the response. It returns fleet.ErrUnavailable, wrapped, when the request
// fails or ctx ends.
func (c *feedClient) Feed(ctx context.Context, feeder session.PeerAddress, after fleet.Revision, wait time.Duration) (fleet.FeedResponse, error) {
	c.requestID++
	sent := c.rpc.Send(rpc.Call{
		Tag: feedTag{requestID: c.requestID}, Address: string(feeder), Method: relay.MethodFeed,
		Params: relay.FeedRequest{After: uint64(after), WaitMillis: wait.Milliseconds(), Packed: true}, Timeout: wait + feedResponseMargin,
		Transfer: recordsTransferTimeout,
	})
	if !sent {
		return fleet.FeedResponse{}, eris.Wrap(fleet.ErrUnavailable, "the rpc duty's ring is full")
	}
	defer context.AfterFunc(ctx, c.signal.Wake)()
	for ctx.Err() == nil {
		r, ok := c.results.Pop()
		switch {
		case ok && r.requestID == c.requestID:
			return r.decode()
		case ok:
			// The response to an abandoned request.
			continue
		}
		if c.results.Park() {
			c.signal.Wait(wait + feedResponseMargin)
			c.results.Unpark()
		}
	}
	return fleet.FeedResponse{}, eris.Wrap(fleet.ErrUnavailable, ctx.Err().Error())
}

// decode returns the response. It runs on the watcher's thread: decoding a large configuration
// would hold up the messages of the rpc duty.
func (r *feedResult) decode() (fleet.FeedResponse, error) {
	if r.err != nil {
		return fleet.FeedResponse{}, r.err
	}
	response, err := unpackFeed(r.text)
	if err != nil {
		return fleet.FeedResponse{}, eris.Wrap(fleet.ErrUnavailable, err.Error())
	}
	return response, nil
}

// complete passes the result of a request to the watcher. It drops the result when the
// ring is full: the watcher empties the ring while it waits, so the request was
// abandoned.
func (c *feedClient) complete(tag feedTag, r rpc.Result) {
	result := feedResult{requestID: tag.requestID, text: r.Raw}
	if r.Err != nil {
		result.err = eris.Wrap(fleet.ErrUnavailable, r.Err.Error())
	}
	c.results.TryPush(result)
}

// handleFeedRequest passes a follower's request for store changes to the fleet duty.
func (h *Hosted) handleFeedRequest(r rpc.Request) {
	var params relay.FeedRequest
	if !h.decodeOrReject(r, &params) {
		return
	}
	request := fleet.FeedRequest{
		ReplyTo: replyHandle{conn: r.Conn, id: r.ID, packed: params.Packed}, After: fleet.Revision(params.After),
		Wait: time.Duration(params.WaitMillis) * time.Millisecond,
	}
	if !h.fleetDuty.input.TryPush(request) {
		h.rpc.Send(rpc.Reply{Conn: r.Conn, ID: r.ID, Error: &rpc.RemoteError{Message: "overloaded"}})
	}
}
