package membership

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// BenchmarkRound reports what the version messages of one second cost an instance
// of the largest fleet: its own messages and one from each link. Like the control
// duty, it sets the state with the terms of all databases before each message.
func BenchmarkRound(b *testing.B) {
	for _, databases := range []int{3, 100, 1000} {
		b.Run(fmt.Sprintf("databases=%d", databases), func(b *testing.B) {
			f := newFleet(930, 7, 0, 1)
			f.now = f.now.Add(time.Second)
			for _, p := range f.peers {
				f.connect(p.ID)
			}
			self := f.meshes["i0"]
			state := func() State {
				terms := make(map[core.DatabaseName]core.Term, databases)
				for d := range databases {
					terms[core.DatabaseName(fmt.Sprintf("database-%04d", d))] = 1
				}
				return State{Catalogue: 1, Shares: 1, Terms: terms}
			}
			fresh := state()
			messages := map[core.InstanceID]Versions{}
			for _, id := range self.Links() {
				f.meshes[id].SetState(fresh)
				for _, s := range f.meshes[id].Tick(f.now) {
					if s.Peer == "i0" {
						messages[id] = s.Versions
					}
				}
			}
			links := self.Links()
			for b.Loop() {
				f.now = f.now.Add(time.Second)
				self.SetState(fresh)
				self.Tick(f.now)
				for _, id := range links {
					self.SetState(fresh)
					self.Received(id, messages[id], f.now)
				}
			}
			steady := self.Tick(f.now)
			text, err := json.Marshal(steady[0].Versions)
			require.NoError(b, err)
			all := 0
			for _, m := range f.meshes {
				all += len(m.Links())
			}
			b.ReportMetric(float64(len(links)), "links")
			b.ReportMetric(float64(all)/float64(len(f.meshes)), "mean-links")
			b.ReportMetric(float64(len(text)), "message-bytes")
		})
	}
}
