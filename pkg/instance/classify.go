package instance

import (
	"sync/atomic"

	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// classifier gives the verdict on the texts of a request.
type classifier interface {
	Classify(texts []string) session.Verdict
}

// classifyDuty runs the parser on a thread of its own, because a parse of a
// long statement would delay every other caller of the session duty.
type classifyDuty struct {
	input      *ring.Ring[session.ClassifyRequest]
	signal     *ring.Signal
	classifier classifier
	output     *ring.Ring[session.Input]
	stopping   atomic.Bool
}

func newClassifyDuty(capacity int, c classifier, output *ring.Ring[session.Input]) *classifyDuty {
	signal := ring.NewSignal()
	return &classifyDuty{
		input:      ring.New[session.ClassifyRequest](capacity, signal),
		signal:     signal,
		classifier: c,
		output:     output,
	}
}

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

func (d *classifyDuty) answer(request session.ClassifyRequest) {
	result := session.ClassifyResult{
		Caller:   request.Caller,
		Sequence: request.Sequence,
		Verdict:  d.classifier.Classify(request.Texts),
	}
	for !d.output.TryPush(result) && !d.stopping.Load() {
		if d.output.NotifyRoom(d.signal) {
			d.signal.Wait(-1)
		}
	}
}
