package settings

import (
	"reflect"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// ErrHosted reports settings of a hosted instance that cannot be used.
var ErrHosted = eris.New("hosted settings are incomplete")

// Hosted are the settings of an instance whose addresses and bounds are given
// by the platform that runs it. Fields with the tag start:"only" are used at the
// start alone.
type Hosted struct {
	// Name is unique among the running instances.
	Name   string      `start:"only"`
	Domain core.Domain `start:"only"`
	IP     string      `start:"only"`
	// CallerAddress and ReadyAddress are listened on.
	CallerAddress string `start:"only"`
	ReadyAddress  string `start:"only"`
	// StoreAddress and PromotionAddress are the platform's.
	StoreAddress     string
	PromotionAddress string
	// FirstPort and LastPort bound the ports between instances.
	FirstPort int `start:"only"`
	LastPort  int `start:"only"`
	// MemoryBytes and Descriptors are the limits of the process.
	MemoryBytes int64
	Descriptors int `start:"only"`
	// TargetDrain is how long a leaving target may still get work.
	TargetDrain time.Duration
	// StopGrace is the time from the request to stop until the process is killed.
	StopGrace time.Duration `start:"only"`
	// RateWindow is the window over which rates are counted, RateOverage the
	// tolerated part above the rate, and RateSlack the tolerated requests.
	RateWindow  time.Duration
	RateOverage float64
	RateSlack   float64
}

// Check returns ErrHosted, wrapped, with the names of all settings that are
// missing.
func (h *Hosted) Check() error {
	needed := []struct {
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
	for _, n := range needed {
		if !n.present {
			missing = append(missing, n.name)
		}
	}
	if len(missing) == 0 {
		return nil
	}
	return eris.Wrapf(ErrHosted, "missing or not positive: %s", strings.Join(missing, ", "))
}

// Changes are the names of the fields in which two settings differ.
type Changes struct {
	// InForce can be taken over by a running instance, AtStart cannot.
	InForce, AtStart []string
}

// Changes compares the settings with newer ones.
func (h *Hosted) Changes(newer *Hosted) Changes {
	var c Changes
	before, after := reflect.ValueOf(*h), reflect.ValueOf(*newer)
	for i := range before.NumField() {
		field := before.Type().Field(i)
		switch {
		case before.Field(i).Interface() == after.Field(i).Interface():
		case field.Tag.Get("start") == "only":
			c.AtStart = append(c.AtStart, field.Name)
		default:
			c.InForce = append(c.InForce, field.Name)
		}
	}
	return c
}
