// Package duty starts the fixed threads of an instance.
//
// A duty is a loop on a goroutine that is locked to its OS thread. The set of
// duties is decided at start and does not change with the load.
package duty

import (
	"runtime"
	"slices"
	"time"
)

// Group is the set of running duties. Start and Names are called from one
// thread.
type Group struct {
	names []string
	// ended are closed when the duty of the same index has ended.
	ended []chan struct{}
}

// Start runs loop on a thread of its own until loop returns.
func (g *Group) Start(name string, loop func()) {
	ended := make(chan struct{})
	g.names = append(g.names, name)
	g.ended = append(g.ended, ended)
	go func() {
		defer close(ended)
		runtime.LockOSThread()
		loop()
	}()
}

// Names returns the names of the started duties in start order.
func (g *Group) Names() []string {
	return slices.Clone(g.names)
}

// Wait returns when every duty has ended.
func (g *Group) Wait() {
	for _, ended := range g.ended {
		<-ended
	}
}

// WaitFor is Wait with a bound. It returns the names of the duties that still
// run when the bound has passed.
func (g *Group) WaitFor(bound time.Duration) []string {
	timer := time.NewTimer(bound)
	defer timer.Stop()
	for _, ended := range g.ended {
		select {
		case <-ended:
		case <-timer.C:
			return g.running()
		}
	}
	return nil
}

func (g *Group) running() []string {
	var names []string
	for i, ended := range g.ended {
		select {
		case <-ended:
		default:
			names = append(names, g.names[i])
		}
	}
	return names
}
