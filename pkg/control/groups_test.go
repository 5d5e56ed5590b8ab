package control

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

func databases(n int) *catalogue.Catalogue {
	c := &catalogue.Catalogue{Version: 1}
	for i := range n {
		name := "d" + strconv.Itoa(i)
		d := catalogue.Database{Name: core.DatabaseName(name), Connections: 35, State: catalogue.DatabaseActive}
		for m := range 3 {
			id := core.MemberID(name + "-" + strconv.Itoa(m))
			d.Members = append(d.Members, catalogue.Member{ID: id, Address: "10.1.0.1:1", StatusAddress: "10.1.0.1:2", Slots: 2})
		}
		c.Databases = append(c.Databases, d)
	}
	return c
}

// Guards against a group without an armed deadline after an input, and against a
// dropped group whose timer stays armed.
func TestGroupsKeepTheirDeadlines(t *testing.T) {
	h := newHarness(t)
	h.engine.adoptGroups(databases(2))
	for range 3 {
		h.handle(SessionReport{Report: session.FloorRequest{Database: "d0", Round: 1}})
		at, armed := h.engine.NextDeadline()
		require.True(t, armed)
		require.False(t, at.After(h.now.Add(time.Second)))
		h.run(time.Second)
	}
	dropped := h.engine.groups["d1"]
	h.engine.adoptGroups(databases(1))
	require.Nil(t, h.engine.groups["d1"])
	for {
		item, due := h.engine.timers.queue.PopDue(h.now.Add(time.Hour))
		if !due {
			break
		}
		require.NotSame(t, &dropped.timer, item)
	}
}

func BenchmarkInputBeforeDatabases(b *testing.B) {
	for _, n := range []int{1, 100, 1000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			h := newHarness(b)
			h.engine.adoptGroups(databases(n))
			for b.Loop() {
				h.engine.Handle(h.now, SessionReport{Report: session.ConfirmRequest{Database: "d0"}})
				h.engine.NextDeadline()
			}
		})
	}
}
