// Package duty starts the fixed threads of an instance.
//
// A duty is a loop on a goroutine that is locked to its OS thread. The set of
// duties is decided at start and does not change with the load.
package duty

import (
	"runtime"
	"sync"
)

// Group is the set of running duties. Start and Names are called from one
// thread.
type Group struct {
	running sync.WaitGroup
	names   []string
}

// Start runs loop on a thread of its own until loop returns.
func (g *Group) Start(name string, loop func()) {
	g.names = append(g.names, name)
	g.running.Add(1)
	go func() {
		defer g.running.Done()
		runtime.LockOSThread()
		loop()
	}()
}

// Names returns the names of the started duties in start order.
func (g *Group) Names() []string {
	return append([]string(nil), g.names...)
}

// Wait returns when every duty has ended.
func (g *Group) Wait() {
	g.running.Wait()
}
