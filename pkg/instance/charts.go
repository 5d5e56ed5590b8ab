package instance

import (
	"io"

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
	return nil
}

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
