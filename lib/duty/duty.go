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

// WaitFor waits for the named duties, or for all without a name, but at most for timeout.
// It returns the names of those that are still running then, nil if there are none.
func (g *Group) WaitFor(timeout time.Duration, names ...string) []string {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for i, done := range g.done {
		if !selected(g.names[i], names) {
			continue
		}
		select {
		case <-done:
		case <-timer.C:
			return g.running(names)
		}
	}
	return nil
}

// selected reports whether the duty is among the names, or whether there are none.
func selected(duty string, names []string) bool {
	return len(names) == 0 || slices.Contains(names, duty)
}

// running returns the selected duties that have not ended.
func (g *Group) running(selection []string) []string {
	var names []string
	for i, done := range g.done {
		if !selected(g.names[i], selection) {
			continue
		}
		select {
		case <-done:
		default:
			names = append(names, g.names[i])
		}
	}
	return names
}
