package instance

import (
	"errors"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sassafrasshunt/sassafrasshunt/charts"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/settings"
)

// ErrCharts reports a built-in chart that does not fit the code.
var ErrCharts = eris.New("state charts are invalid")

// CheckCharts validates every built-in chart and binds it to the registered
// guards, actions and timeouts, as the start of an instance does. It returns
// ErrCharts, wrapped, with the faults of the first chart that does not fit.
func CheckCharts() error {
	for _, name := range charts.Names() {
		if _, err := charts.Load(name); err != nil {
			return eris.Wrap(ErrCharts, err.Error())
		}
	}
	s, err := settings.Parse("built-in", []byte(checkSettings))
	if err != nil {
		return eris.Wrap(ErrCharts, err.Error())
	}
	i, err := New(s, io.Discard)
	if err != nil {
		return eris.Wrap(ErrCharts, err.Error())
	}
	i.admin.Stop()
	return checkHosted()
}

// checkHosted binds the charts of hosted instances by building one that never
// runs.
func checkHosted() error {
	h, err := NewHosted(&settings.Hosted{
		Name: "check", Domain: "check", IP: "127.0.0.1", CallerAddress: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0",
		StoreAddress: "127.0.0.1:1", PromotionAddress: "127.0.0.1:1", MemoryBytes: checkMemory,
		StopGrace: time.Minute, TargetDrain: time.Minute, RateWindow: time.Second,
	}, io.Discard)
	if err != nil {
		return eris.Wrap(ErrCharts, err.Error())
	}
	h.callers.Loop.Close()
	h.targets.Loop.Close()
	if err := errors.Join(h.probe.Close(), h.metricsAt.Close()); err != nil {
		return eris.Wrap(ErrCharts, err.Error())
	}
	return nil
}

// checkMemory is the memory limit of a checked instance, in bytes; it is that of
// the process from then on, and large enough for every other use.
const checkMemory = 8 << 30

// checkSettings let the kernel choose the ports of an instance that never runs.
const checkSettings = `
[instance]
domain = "check"
[listen]
callers = "127.0.0.1:0"
peers = "127.0.0.1:0"
admin = "127.0.0.1:0"
[platform]
address = "127.0.0.1:1"
`
