package instance

import (
	"errors"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sassafrasshunt/sassafrasshunt/charts"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/settings"
)

// ErrCharts reports a built-in state chart that is invalid or that names a
// guard, action or timeout that the code does not register.
var ErrCharts = eris.New("state charts are invalid")

// CheckCharts validates every built-in chart and binds it to the registered
// guards, actions and timeouts, as an instance does at startup. It returns
// ErrCharts, wrapped, with the errors of the first invalid chart.
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

// checkHosted binds the charts of hosted instances by building an instance that
// is never run.
func checkHosted() error {
	h, err := NewHosted(&settings.Hosted{
		Name: "check", Domain: "check", IP: "127.0.0.1", CallerAddress: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0",
		StoreAddress: "127.0.0.1:1", PromotionAddress: "127.0.0.1:1", MemoryBytes: checkMemoryBytes,
		StopGrace: time.Minute, TargetDrain: time.Minute, RateWindow: time.Second,
	}, io.Discard)
	if err != nil {
		return eris.Wrap(ErrCharts, err.Error())
	}
	h.callers.Loop.Close()
	h.targets.Loop.Close()
	if err := errors.Join(h.readyListener.Close(), h.metricsListener.Close()); err != nil {
		return eris.Wrap(ErrCharts, err.Error())
	}
	return nil
}

// checkMemoryBytes is the memory limit of the instance that checkHosted builds, in
// bytes. Building it sets the Go memory limit of the whole process, so the value
// must be large enough for whatever the process does afterwards.
const checkMemoryBytes = 8 << 30

// checkSettings are the settings of an instance that is built only to bind its
// charts. Port 0 lets the kernel choose free ports.
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
