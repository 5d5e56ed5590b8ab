package instance

import (
	"sync/atomic"

	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// classifier classifies the statement texts of a request.
type classifier interface {
	Classify(texts []string) session.Classification
}

// classifyDuty runs the SQL parser on a thread of its own, because parsing a long
// statement on the session duty would delay all other callers.
type classifyDuty struct {
	input      *ring.Ring[session.ClassifyRequest]
	signal     *ring.Signal
	classifier classifier
	// output holds the results that the session ring has no space for. A caller has
	// at most one request, so there are at most as many results as callers.
	output   ringWriter[session.Input]
	stopping atomic.Bool
}

// newClassifyDuty returns a duty that is not running yet. capacity is that of its
// input ring; the results are pushed into output.
func newClassifyDuty(capacity int, c classifier, output *ring.Ring[session.Input]) *classifyDuty {
	signal := ring.NewSignal()
	return &classifyDuty{
		input:      ring.New[session.ClassifyRequest](capacity, signal),
		signal:     signal,
		classifier: c,
		output:     ringWriter[session.Input]{ring: output},
	}
}

// run classifies requests until stop is called. It takes requests also while results
// wait for space in the session ring: the session duty may be waiting for space in the
// request ring.
func (d *classifyDuty) run() {
	for !d.stopping.Load() {
		d.output.flush()
		if request, ok := d.input.Pop(); ok {
			d.answer(request)
			continue
		}
		d.park()
	}
}

func (d *classifyDuty) stop() {
	d.stopping.Store(true)
	d.signal.Wake()
}

// park waits for a request, or for space for the results that wait.
func (d *classifyDuty) park() {
	if !d.input.Park() {
		return
	}
	defer d.input.Unpark()
	if d.output.pending() && !d.output.notifySpace(d.signal) {
		return
	}
	d.signal.Wait(-1)
}

// answer classifies a request and sends the result.
func (d *classifyDuty) answer(request session.ClassifyRequest) {
	d.output.send(session.ClassifyResult{
		Caller:         request.Caller,
		Sequence:       request.Sequence,
		Classification: d.classifier.Classify(request.Texts),
	})
}
