package instance

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/fleet"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/relay"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/rpc"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// feedTag numbers the questions to feeders.
type feedTag struct{ question uint64 }

// feedResult is the end of a question to a feeder.
type feedResult struct {
	question uint64
	answer   fleet.FeedAnswer
	err      error
}

// feedRing is the number of results that can wait: that of the present question
// and late ones of questions that were given up.
const feedRing = 16

// feedCalls asks feeders for the watcher, which waits for the answer.
type feedCalls struct {
	rpc     *rpc.Duty
	results *ring.Ring[feedResult]
	signal  *ring.Signal
	// question is the number of the newest question, used by the watcher only.
	question uint64
}

var _ fleet.Feeder = (*feedCalls)(nil)

func newFeedCalls(d *rpc.Duty) *feedCalls {
	signal := ring.NewSignal()
	return &feedCalls{rpc: d, results: ring.New[feedResult](feedRing, signal), signal: signal}
}

// Feed implements fleet.Feeder.
func (c *feedCalls) Feed(ctx context.Context, feeder session.PeerAddress, after fleet.Revision, wait time.Duration) (fleet.FeedAnswer, error) {
	c.question++
	sent := c.rpc.Send(rpc.Call{
		Tag: feedTag{question: c.question}, Address: string(feeder), Method: relay.MethodFeed,
		Params: relay.FeedQuestion{After: uint64(after), WaitMillis: wait.Milliseconds()}, Timeout: wait + feedAnswer,
	})
	if !sent {
		return fleet.FeedAnswer{}, eris.Wrap(fleet.ErrUnavailable, "no room for a call")
	}
	defer context.AfterFunc(ctx, c.signal.Wake)()
	for ctx.Err() == nil {
		r, ok := c.results.Pop()
		switch {
		case ok && r.question == c.question:
			return r.answer, r.err
		case ok:
			// The answer to a question that was given up.
			continue
		}
		if c.results.Park() {
			c.signal.Wait(wait)
			c.results.Unpark()
		}
	}
	return fleet.FeedAnswer{}, eris.Wrap(fleet.ErrUnavailable, ctx.Err().Error())
}

// take hands the end of a question over. A full ring drops it: its question was
// given up long ago.
func (c *feedCalls) take(tag feedTag, r rpc.Result) {
	result := feedResult{question: tag.question}
	switch {
	case r.Err != nil:
		result.err = eris.Wrap(fleet.ErrUnavailable, r.Err.Error())
	default:
		if err := json.Unmarshal(r.Raw, &result.answer); err != nil {
			result.err = eris.Wrap(fleet.ErrUnavailable, err.Error())
		}
	}
	c.results.TryPush(result)
}

// askFeed hands a follower's question to the fleet duty.
func (h *Hosted) askFeed(r rpc.Request) {
	var question relay.FeedQuestion
	if !h.decodePeer(r, &question) {
		return
	}
	asked := fleet.FeedAsked{
		Reply: replyTo{conn: r.Conn, id: r.ID}, After: fleet.Revision(question.After),
		Wait: time.Duration(question.WaitMillis) * time.Millisecond,
	}
	if !h.fleets.input.TryPush(asked) {
		h.rpc.Send(rpc.Reply{Conn: r.Conn, ID: r.ID, Error: &rpc.RemoteError{Message: "overloaded"}})
	}
}
