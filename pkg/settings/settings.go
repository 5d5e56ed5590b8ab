// Package settings reads an instance's settings from a TOML file and checks
// them as a whole: every fault is reported at once with its place.
package settings

import (
	"os"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Settings is everything an instance learns from its file. Durations are
// written as Go durations ("600ms"), sizes in bytes.
type Settings struct {
	Domain        core.Domain
	CallerAddress string
	PeerAddress   string
	AdminAddress  string
	Seeds         []string

	PlatformAddress     string
	PlatformCallTimeout time.Duration
	LeaseTTL            time.Duration
	LeaseRenew          time.Duration

	TargetUser           string
	TargetPassword       string
	TargetConnectTimeout time.Duration
	TargetIdleClose      time.Duration

	DetectionBound  time.Duration
	HeartbeatPeriod time.Duration
	ConfirmBound    time.Duration
	ReplicaWait     time.Duration

	MaxInstances      int
	FloorFraction     float64
	CutoffBound       time.Duration
	KeyStalenessBound time.Duration
	RetryBudget       float64

	MaxCallers       int
	MaxMessage       int
	DrainBound       time.Duration
	IdleCallerBound  time.Duration
	RingCapacity     int
	LogLevel         string
	TraceExporter    string
	OTLPEndpoint     string
	OperatorKeyHash  string
	FailoverBaseline bool
	ReadPolicy       string
	Queue            string
}

// Load reads and checks the file. It returns a *FileError when the file cannot
// be read, and a *FaultsError that lists every fault in it.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{Path: path, Err: err}
	}
	return Parse(path, text)
}
