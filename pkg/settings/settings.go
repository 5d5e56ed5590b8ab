// Package settings reads and validates an instance's settings from a TOML file. All
// problems of a file are reported together, each with its line.
package settings

import (
	"os"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Settings holds all settings of an instance. In the file, durations are Go durations
// such as "600ms", and sizes are in bytes. Fields describes each value.
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

	MaxCallers          int
	MaxMessage          int
	DrainBound          time.Duration
	CallerIdleTimeout   time.Duration
	RingCapacity        int
	LogLevel            string
	TraceExporter       string
	OTLPEndpoint        string
	OperatorKeyHash     string
	AcknowledgeAtCommit bool
	ReadPolicy          string
	Queue               string
}

// Load reads and validates a settings file. It returns a *FileError when the file
// cannot be read, and a *ValidationError that lists all its problems.
func Load(path string) (*Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{Path: path, Err: err}
	}
	return Parse(path, content)
}
