package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// feedStatus is the part of the status page with the configuration's version and the
// source of store changes.
type feedStatus struct {
	Version uint64 `json:"version"`
	Feeder  string `json:"feeder"`
	Feeding bool   `json:"feeding"`
}

// feedStatus reads the status page of instance i.
func (f *hostedFleet) feedStatus(i int) (feedStatus, error) {
	var s feedStatus
	response, err := http.Get("http://" + f.instances[i].metricsAddress + "/status")
	if err != nil {
		return s, err
	}
	defer response.Body.Close()
	return s, json.NewDecoder(response.Body).Decode(&s)
}

// feeders returns the numbers of the feeders. It returns an error while an instance is
// neither a feeder nor a follower.
func (f *hostedFleet) feeders() ([]int, error) {
	var feeding []int
	for i := range f.instances {
		s, err := f.feedStatus(i)
		switch {
		case err != nil:
			return nil, err
		case s.Feeding:
			feeding = append(feeding, i)
		case s.Feeder == "":
			return nil, fmt.Errorf("instance %d is not a feeder and follows none", i)
		}
	}
	return feeding, nil
}

// checkVersion returns nil if the instances apply this version of the configuration.
func (f *hostedFleet) checkVersion(version uint64, instances []int) error {
	for _, i := range instances {
		s, err := f.feedStatus(i)
		if err != nil {
			return err
		}
		if s.Version != version {
			return fmt.Errorf("instance %d has version %d", i, s.Version)
		}
	}
	return nil
}

// Guards against instances of a large failure domain that miss a configuration. They
// receive the store's changes from feeders; when those are suspended, they must read
// them from the store within the time that the hosting platform allows.
func TestHostedFeeders(t *testing.T) {
	const configurationTimeout = 3 * time.Second
	f := startHostedFleetInDomain(t, 10, "one")
	var feeding []int
	require.NoError(t, eventually(startTimeout, func() (err error) {
		feeding, err = f.feeders()
		return err
	}))
	require.Len(t, feeding, 2)
	all := make([]int, len(f.instances))
	var followers []int
	for i := range all {
		all[i] = i
		if i != feeding[0] && i != feeding[1] {
			followers = append(followers, i)
		}
	}
	f.store.put("op/config", f.configuration(2))
	require.NoError(t, eventually(configurationTimeout, func() error { return f.checkVersion(2, all) }))
	for _, i := range feeding {
		require.NoError(t, f.instances[i].signal(syscall.SIGSTOP))
	}
	f.store.put("op/config", f.configuration(3))
	require.NoError(t, eventually(configurationTimeout, func() error { return f.checkVersion(3, followers) }))
	for _, i := range feeding {
		require.NoError(t, f.instances[i].signal(syscall.SIGCONT))
	}
	require.NoError(t, eventually(configurationTimeout, func() error { return f.checkVersion(3, all) }))
}
