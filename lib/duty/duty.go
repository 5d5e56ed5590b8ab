// Package duty runs the fixed threads of an instance.
//
// A duty is a loop on a goroutine that is locked to its OS thread. The set of
// duties is fixed at start and does not depend on the load.
package duty

import (
	"runtime"
	"slices"
	"time"
)

// Group is a set of duties. Start and Names must be called from one thread.
type Group struct {
	names []string
	// done has one channel per duty, closed when its loop has returned.
	done []chan struct{}
}

// Start runs loop on its own thread until loop returns.
func (g *Group) Start(name string, loop func()) {
	done := make(chan struct{})
	g.names = append(g.names, name)
	g.done = append(g.done, done)
	go func() {
		defer close(done)
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
	for _, done := range g.done {
		<-done
	}
}

// WaitFor waits like Wait, but at most for timeout. It returns the names of the
// duties that are still running then, nil if there are none.
func (g *Group) WaitFor(timeout time.Duration) []string {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for _, done := range g.done {
		select {
		case <-done:
		case <-timer.C:
			return g.running()
		}
	}
	return nil
}

func (g *Group) running() []string {
	var names []string
	for i, done := range g.done {
		select {
		case <-done:
		default:
			names = append(names, g.names[i])
		}
	}
	return names
}
