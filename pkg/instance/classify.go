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
	output     *ring.Ring[session.Input]
	stopping   atomic.Bool
}

// newClassifyDuty returns a duty that is not running yet. capacity is that of its
// input ring; the results are pushed into output.
func newClassifyDuty(capacity int, c classifier, output *ring.Ring[session.Input]) *classifyDuty {
	signal := ring.NewSignal()
	return &classifyDuty{
		input:      ring.New[session.ClassifyRequest](capacity, signal),
		signal:     signal,
		classifier: c,
		output:     output,
	}
}

// run classifies requests until stop is called.
func (d *classifyDuty) run() {
	for !d.stopping.Load() {
		request, ok := d.input.Pop()
		if ok {
			d.answer(request)
			continue
		}
		if d.input.Park() {
			d.signal.Wait(-1)
			d.input.Unpark()
		}
	}
}

func (d *classifyDuty) stop() {
	d.stopping.Store(true)
	d.signal.Wake()
}

// answer classifies a request and pushes the result, waiting while the output
// ring is full.
func (d *classifyDuty) answer(request session.ClassifyRequest) {
	result := session.ClassifyResult{
		Caller:         request.Caller,
		Sequence:       request.Sequence,
		Classification: d.classifier.Classify(request.Texts),
	}
	for !d.output.TryPush(result) && !d.stopping.Load() {
		if d.output.NotifySpace(d.signal) {
			d.signal.Wait(-1)
		}
	}
}
