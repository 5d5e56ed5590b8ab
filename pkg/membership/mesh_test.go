package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/stretchr/testify/require"
)

var testSettings = Settings{
	OwnDomain:    DefaultOwnDomain,
	OtherDomains: DefaultOtherDomains,
	BackoffMin:   DefaultBackoffMin,
	BackoffMax:   DefaultBackoffMax,
}

// fleet simulates instances that exchange messages in rounds of one second.
type fleet struct {
	now    time.Time
	meshes map[core.InstanceID]*Mesh
	states map[core.InstanceID]State
	peers  []Peer
	sent   map[core.InstanceID]int
}

func newFleet(n, domains int, wrongFraction float64, seed uint64) *fleet {
	random := rand.New(rand.NewPCG(seed, 1))
	f := &fleet{
		now:    time.Unix(0, 0),
		meshes: map[core.InstanceID]*Mesh{},
		states: map[core.InstanceID]State{},
		sent:   map[core.InstanceID]int{},
	}
	for i := range n {
		f.peers = append(f.peers, Peer{
			ID:      core.InstanceID(fmt.Sprintf("i%d", i)),
			Address: fmt.Sprintf("127.0.0.1:%d", i+1),
			Domain:  core.Domain(fmt.Sprintf("d%d", i%domains)),
		})
	}
	for _, p := range f.peers {
		m := NewMesh(p, testSettings, random)
		m.SetList(f.listWithErrors(random, wrongFraction))
		f.meshes[p.ID] = m
	}
	return f
}

// listWithErrors returns the list with a fraction of the instances replaced by
// ones that do not exist.
func (f *fleet) listWithErrors(random *rand.Rand, wrongFraction float64) []Peer {
	list := make([]Peer, len(f.peers))
	for i, p := range f.peers {
		list[i] = p
		if random.Float64() < wrongFraction {
			list[i].ID = "gone-" + p.ID
		}
	}
	return list
}

// runRound opens the wanted links and delivers the messages of one second.
func (f *fleet) runRound() {
	f.now = f.now.Add(time.Second)
	for _, p := range f.peers {
		f.connect(p.ID)
	}
	type delivery struct {
		from core.InstanceID
		send Send
	}
	var deliveries []delivery
	for _, p := range f.peers {
		for _, s := range f.meshes[p.ID].Tick(f.now) {
			deliveries = append(deliveries, delivery{from: p.ID, send: s})
		}
	}
	for _, d := range deliveries {
		f.sent[d.from]++
		f.receive(d.send.Peer, d.from, d.send.Versions)
	}
}

func (f *fleet) connect(id core.InstanceID) {
	m := f.meshes[id]
	for _, p := range m.Wanted(f.now) {
		if m.links[p.ID] != nil {
			continue
		}
		other, alive := f.meshes[p.ID]
		if !alive {
			m.Failed(p.ID, f.now)
			continue
		}
		m.Connected(p.ID)
		other.Connected(id)
	}
}

func (f *fleet) receive(to, from core.InstanceID, v Versions) {
	r := f.meshes[to].Received(from, v, f.now)
	if r.Pull.Empty() {
		return
	}
	state := f.states[to]
	if r.Pull.Catalogue {
		state.Catalogue = f.states[from].Catalogue
	}
	if len(r.Pull.Terms) > 0 {
		state.Terms = r.Pull.Terms
	}
	f.setState(to, state)
}

func (f *fleet) setState(id core.InstanceID, s State) {
	f.states[id] = s
	f.meshes[id].SetState(s)
}

// Guards against a message rate per instance that grows with the fleet, and
// against a new version or term that does not reach every instance when 30 % of
// the list is wrong.
func TestNewVersionReachesAllAtAFlatMessageRate(t *testing.T) {
	for _, c := range []struct{ instances, domains int }{{19, 4}, {930, 7}} {
		f := newFleet(c.instances, c.domains, 0.3, 7)
		const settling = 10
		for range settling {
			f.runRound()
		}
		clear(f.sent)
		f.setState("i0", State{Catalogue: 5, Terms: map[core.DatabaseName]core.Term{"jylland": 3}})
		rounds := 0
		for ; rounds < 20 && !f.allHave(5, 3); rounds++ {
			f.runRound()
		}
		require.True(t, f.allHave(5, 3), "%d instances", c.instances)
		total, most := 0, 0
		for _, n := range f.sent {
			total += n
			most = max(most, n)
		}
		mean := float64(total) / float64(c.instances*rounds)
		t.Logf("%d instances: all reached after %d rounds, %.1f messages/s per instance, at most %d",
			c.instances, rounds, mean, most/rounds)
		// Each instance opens six links and, on average, six are opened to it.
		require.LessOrEqual(t, mean, 12.0)
	}
}

func (f *fleet) allHave(version uint64, term core.Term) bool {
	for _, p := range f.peers {
		s := f.states[p.ID]
		if s.Catalogue != version || s.Terms["jylland"] != term {
			return false
		}
	}
	return true
}

// Guards against a revoked key that waits for the next second, is sent twice over
// a link, or is sent back to where it came from.
func TestRevocationIsPassedOnAtOnceAndOnce(t *testing.T) {
	m := NewMesh(Peer{ID: "a"}, testSettings, rand.New(rand.NewPCG(1, 1)))
	m.Connected("b")
	m.Connected("c")
	now := time.Unix(0, 0)
	r := m.Received("b", Versions{Revoked: []core.KeyID{"k1"}}, now)
	require.Equal(t, []core.KeyID{"k1"}, r.Revoked)
	sends := m.Urgent(now)
	require.Len(t, sends, 1)
	require.Equal(t, core.InstanceID("c"), sends[0].Peer)
	require.Equal(t, []core.KeyID{"k1"}, sends[0].Versions.Revoked)
	require.Empty(t, m.Urgent(now))
	require.Empty(t, m.Received("c", Versions{Revoked: []core.KeyID{"k1"}}, now).Revoked)
}

// Guards against a new catalogue or term that waits for the next second at each
// hop, and against one that is sent back to the peer from which it came.
func TestNewCatalogueIsPassedOnAtOnce(t *testing.T) {
	now := time.Unix(0, 0)
	m := NewMesh(Peer{ID: "a"}, testSettings, rand.New(rand.NewPCG(1, 1)))
	m.Connected("b")
	m.Connected("c")
	require.True(t, m.Received("b", Versions{Catalogue: 5}, now).Pull.Catalogue)
	m.SetState(State{Catalogue: 5, Shares: 9})
	sends := m.Urgent(now)
	require.Len(t, sends, 1)
	require.Equal(t, core.InstanceID("c"), sends[0].Peer)
	m.SetState(State{Catalogue: 5, Shares: 10})
	require.Empty(t, m.Urgent(now))
	m.SetState(State{Catalogue: 5, Terms: map[core.DatabaseName]core.Term{"fyn": 2}})
	require.Len(t, m.Urgent(now), 2)
}

// Guards against a busy loop of connection attempts to a peer that does not
// exist, and against a peer that is never retried.
func TestFailedPeerBacksOffAndReturns(t *testing.T) {
	now := time.Unix(0, 0)
	m := NewMesh(Peer{ID: "a"}, testSettings, rand.New(rand.NewPCG(1, 1)))
	m.SetList([]Peer{{ID: "b", Address: "127.0.0.1:1"}})
	last := time.Duration(0)
	for range 12 {
		require.Len(t, m.Wanted(now), 1)
		m.Failed("b", now)
		require.Empty(t, m.Wanted(now))
		next, ok := m.Next(now)
		require.True(t, ok)
		last = next.Sub(now)
		require.LessOrEqual(t, last, DefaultBackoffMax)
		now = next
	}
	require.GreaterOrEqual(t, last, DefaultBackoffMax/2)
}

// Guards against an isolated group of peers in which messages from each other
// count as contact with the platform.
func TestNewsGrowsOldAmongPeers(t *testing.T) {
	f := newFleet(3, 1, 0, 1)
	start := f.now
	f.meshes["i0"].RecordContact(start)
	for range 30 {
		f.runRound()
	}
	require.Equal(t, start, f.meshes["i2"].lastContact)
}

// Guards against a term that is lost permanently on a link. The digests differ,
// and the full list of terms is requested.
func TestLostTermIsRepaired(t *testing.T) {
	f := newFleet(2, 1, 0, 1)
	f.setState("i0", State{Terms: map[core.DatabaseName]core.Term{"jylland": 3}})
	f.connect("i0")
	f.meshes["i0"].Tick(f.now)
	for range 2 * mismatchThreshold {
		f.runRound()
	}
	require.Equal(t, core.Term(3), f.states["i1"].Terms["jylland"])
}
