package settings

import (
	"reflect"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// ErrHosted reports missing or invalid settings of a hosted instance.
var ErrHosted = eris.New("hosted settings are incomplete")

// Hosted holds the settings of an instance whose addresses and limits are given by the
// platform that runs it. A change of a field with the tag start:"only" needs a restart.
// The field names are printed in the log.
type Hosted struct {
	// Name is unique among the running instances.
	Name   string      `start:"only"`
	Domain core.Domain `start:"only"`
	IP     string      `start:"only"`
	// CallerAddress and ReadyAddress are the addresses to listen on for callers and for
	// readiness probes.
	CallerAddress string `start:"only"`
	ReadyAddress  string `start:"only"`
	// StoreAddress and PromotionAddress are the platform's store and its API for
	// promotions.
	StoreAddress     string
	PromotionAddress string
	// FirstPort and LastPort are the range of ports for connections between instances.
	FirstPort int `start:"only"`
	LastPort  int `start:"only"`
	// MemoryBytes and Descriptors are the process's limits on memory and on file
	// descriptors.
	MemoryBytes int64
	Descriptors int `start:"only"`
	// TargetDrain is how long a target that is being removed may still get work.
	TargetDrain time.Duration
	// StopGrace is the time from the request to stop until the process is killed.
	StopGrace time.Duration `start:"only"`
	// RateWindow is the window over which the platform counts rates. RateOverage is the
	// tolerated excess as a fraction of the rate and burst, and RateSlack the further
	// tolerated excess in requests.
	RateWindow  time.Duration
	RateOverage float64
	RateSlack   float64
	// EvacuationBound is how long after the request to evacuate a failure domain its
	// members may still get work; zero if the platform has no such requests.
	EvacuationBound time.Duration
	// WarmupOverage and WarmupSlack are the tolerance of the bound on requests to a member
	// that has just started: in one second at most the member's rate while it warms up,
	// times WarmupOverage, plus WarmupSlack requests. Zero if the platform has no bound.
	WarmupOverage float64
	WarmupSlack   float64
	// Capacity is the instance's processor share: the fraction of a core times the speed
	// of the core. Zero if the platform does not state it.
	Capacity float64
	// LinkMbps is the bandwidth of the instance's network link, in Mbit/s, zero if unknown.
	LinkMbps float64
	// PromotionsFenced is set if the platform checks the fencing tokens of promotions and
	// a replaced primary takes no more writes. Otherwise the instances ensure both.
	PromotionsFenced bool `start:"only"`
}

// Check returns ErrHosted, wrapped, with the names of all settings that are missing or
// not positive.
func (h *Hosted) Check() error {
	required := []struct {
		name    string
		present bool
	}{
		{"name", h.Name != ""},
		{"failure domain", h.Domain != ""},
		{"IP address", h.IP != ""},
		{"caller address", h.CallerAddress != ""},
		{"ready address", h.ReadyAddress != ""},
		{"store address", h.StoreAddress != ""},
		{"promotion address", h.PromotionAddress != ""},
		{"ports between instances", h.FirstPort > 0 && h.LastPort > h.FirstPort},
		{"memory limit", h.MemoryBytes > 0},
		{"stop grace", h.StopGrace > 0},
		{"target drain", h.TargetDrain > 0},
		{"rate window", h.RateWindow > 0},
	}
	var missing []string
	for _, n := range required {
		if !n.present {
			missing = append(missing, n.name)
		}
	}
	if len(missing) == 0 {
		return nil
	}
	return eris.Wrapf(ErrHosted, "missing or not positive: %s", strings.Join(missing, ", "))
}

// Changes holds the names of the fields in which two settings differ.
type Changes struct {
	// Reloadable fields can be applied by a running instance; RestartOnly fields need a
	// restart.
	Reloadable, RestartOnly []string
}

// Changes compares the settings with newer ones and returns the fields that differ.
func (h *Hosted) Changes(newer *Hosted) Changes {
	var c Changes
	before, after := reflect.ValueOf(*h), reflect.ValueOf(*newer)
	for i := range before.NumField() {
		field := before.Type().Field(i)
		switch {
		case before.Field(i).Interface() == after.Field(i).Interface():
		case field.Tag.Get("start") == "only":
			c.RestartOnly = append(c.RestartOnly, field.Name)
		default:
			c.Reloadable = append(c.Reloadable, field.Name)
		}
	}
	return c
}
