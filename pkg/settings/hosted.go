package settings

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// ErrHosted reports settings of a hosted instance that cannot be used.
var ErrHosted = eris.New("hosted settings are incomplete")

// Hosted are the settings of an instance whose addresses and bounds are given
// by the platform that runs it.
type Hosted struct {
	// Name is unique among the running instances.
	Name   string
	Domain core.Domain
	IP     string
	// CallerAddress and ReadyAddress are listened on.
	CallerAddress string
	ReadyAddress  string
	// StoreAddress and PromotionAddress are the platform's.
	StoreAddress     string
	PromotionAddress string
	// FirstPort and LastPort bound the ports between instances.
	FirstPort int
	LastPort  int
	// MemoryBytes and Descriptors are the limits of the process.
	MemoryBytes int64
	Descriptors int
	// TargetDrain is how long a leaving target may still get work.
	TargetDrain time.Duration
	// StopGrace is the time from the request to stop until the process is killed.
	StopGrace time.Duration
	// RateWindow is the window over which rates are counted, RateOverage the
	// tolerated part above the rate, and RateSlack the tolerated requests.
	RateWindow  time.Duration
	RateOverage float64
	RateSlack   float64
}

// Check returns ErrHosted, wrapped, when a needed setting is missing.
func (h *Hosted) Check() error {
	needed := map[string]bool{
		"name": h.Name != "", "failure domain": h.Domain != "", "caller address": h.CallerAddress != "",
		"ready address": h.ReadyAddress != "", "store address": h.StoreAddress != "",
		"stop grace": h.StopGrace > 0, "target drain": h.TargetDrain > 0, "rate window": h.RateWindow > 0,
	}
	for name, present := range needed {
		if !present {
			return eris.Wrapf(ErrHosted, "%s is missing", name)
		}
	}
	return nil
}
