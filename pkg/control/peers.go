package control

import (
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/failover"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/membership"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/share"
)

// exchangePeriod is the period of version messages on each link.
const exchangePeriod = time.Second

// peers joins the mesh of instances with the state that spreads through it.
type peers struct {
	engine *Engine
	mesh   *membership.Mesh
	// addresses of listed and linked peers.
	addresses map[core.InstanceID]string
	versions  map[core.InstanceID]uint64
	// heard is when a peer of a failure domain was last heard.
	heard map[core.Domain]time.Time
	// listed holds the failure domains of the platform's list.
	listed map[core.Domain]bool
	// listing is set while a read of the list has no answer.
	listing bool
	// announced is the last announcement, nil before the first.
	announced *Announce
}

func newPeers(e *Engine) *peers {
	self := e.config.Self
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(self.Instance))
	settings := membership.Settings{
		OwnDomain:    membership.DefaultOwnDomain,
		OtherDomains: membership.DefaultOtherDomains,
		BackoffMin:   membership.DefaultBackoffMin,
		BackoffMax:   membership.DefaultBackoffMax,
	}
	return &peers{
		engine:    e,
		mesh:      membership.NewMesh(membership.Peer{ID: self.Instance, Address: self.PeerAddress, Domain: self.Domain}, settings, rand.New(rand.NewPCG(seed.Sum64(), 0))),
		addresses: map[core.InstanceID]string{},
		versions:  map[core.InstanceID]uint64{},
		heard:     map[core.Domain]time.Time{},
		listed:    map[core.Domain]bool{},
	}
}

func (p *peers) start() {
	e := p.engine
	p.list()
	e.every(listPeriod, p.list)
	e.every(exchangePeriod, p.exchange)
}

// list reads the platform's list unless a read is still open: during an outage
// each call takes its whole timeout.
func (p *peers) list() {
	if p.listing {
		return
	}
	p.listing = true
	p.engine.store(ListInstances{})
}

// announce puts this instance into the platform's list.
func (p *peers) announce(leaving bool) {
	p.announced = &Announce{Leaving: leaving}
	p.engine.store(*p.announced)
}

// repairAnnouncement repeats an announcement that was lost.
func (p *peers) repairAnnouncement(list []Peer) {
	if p.announced == nil {
		return
	}
	wanted := Peer{
		ID: p.engine.config.Self.Instance, PeerAddress: p.engine.config.Self.PeerAddress,
		Domain: p.engine.config.Self.Domain, Leaving: p.announced.Leaving,
	}
	if !slices.Contains(list, wanted) {
		p.engine.store(*p.announced)
	}
}

// listed takes the platform's list. A failed read leaves the known list.
func (p *peers) listAnswered(a StoreAnswer) {
	p.listing = false
	if a.Outcome != Done {
		return
	}
	var list []membership.Peer
	p.forget()
	for _, i := range a.Instances {
		p.listed[i.Domain] = true
		p.addresses[i.ID] = i.PeerAddress
		if !i.Leaving {
			list = append(list, membership.Peer{ID: i.ID, Address: i.PeerAddress, Domain: i.Domain})
		}
	}
	p.mesh.SetList(list)
	p.repairAnnouncement(a.Instances)
	p.exchange()
}

// forget drops what is known of instances and domains, but for linked peers.
func (p *peers) forget() {
	links := p.mesh.Links()
	unlinked := func(id core.InstanceID) bool { return !slices.Contains(links, id) }
	maps.DeleteFunc(p.addresses, func(id core.InstanceID, _ string) bool { return unlinked(id) })
	maps.DeleteFunc(p.versions, func(id core.InstanceID, _ uint64) bool { return unlinked(id) })
	clear(p.listed)
}

// exchange opens wanted links and sends the messages of one period.
func (p *peers) exchange() {
	p.setState()
	links := p.mesh.Links()
	for _, peer := range p.mesh.Wanted(p.engine.now) {
		if !slices.Contains(links, peer.ID) {
			p.send(peer.ID, peer.Address, membership.Versions{Catalogue: p.catalogueVersion()})
		}
	}
	p.sendAll(p.mesh.Tick(p.engine.now))
	if !p.engine.mirror.complete {
		p.askSeeds()
	}
}

// unknownInstance addresses a seed whose ID is not known yet; its answer names
// it, and it is linked from then on.
const unknownInstance core.InstanceID = ""

// askSeeds gets the catalogue and the share table of an instance that starts
// while the platform is down.
func (p *peers) askSeeds() {
	for _, address := range p.engine.config.Seeds {
		p.send(unknownInstance, address, membership.Versions{Catalogue: p.catalogueVersion()})
		p.engine.out.Peer(PeerCall{Address: address, Message: CatalogueRequest{}})
		p.engine.out.Peer(PeerCall{Address: address, Message: TableRequest{}})
	}
}

// spread passes on at once what must not wait for the next period.
func (p *peers) spread() {
	p.setState()
	p.sendAll(p.mesh.Urgent(p.engine.now))
}

func (p *peers) setState() {
	e := p.engine
	state := membership.State{Catalogue: p.catalogueVersion(), Terms: e.terms()}
	if t := e.holder.Table(); t != nil {
		state.Shares = t.Revision
	}
	p.mesh.SetState(state)
}

func (p *peers) catalogueVersion() uint64 {
	return p.engine.settings.keeper.InForce().Version
}

func (p *peers) sendAll(sends []membership.Send) {
	for _, s := range sends {
		if address := p.addresses[s.Peer]; address != "" {
			p.send(s.Peer, address, s.Versions)
		}
	}
}

func (p *peers) send(to core.InstanceID, address string, v membership.Versions) {
	self := p.engine.config.Self
	p.engine.out.Peer(PeerCall{Address: address, Message: Versions{
		From: self.Instance, PeerAddress: self.PeerAddress, Domain: self.Domain, To: to, Versions: v,
	}})
}

// probe tries a new connection to the address of a lost holder.
func (p *peers) probe(probe share.Probe) {
	p.send(probe.Instance, probe.Address, membership.Versions{Catalogue: p.catalogueVersion()})
}

// request answers a message of another instance.
func (p *peers) request(m FromPeer) {
	e := p.engine
	accepted := Accepted{Instance: e.config.Self.Instance}
	switch v := m.Message.(type) {
	case Versions:
		e.out.Reply(m.Reply, accepted)
		p.received(v)
	case CatalogueRequest:
		e.out.Reply(m.Reply, CatalogueMessage{Catalogue: e.settings.keeper.InForce()})
	case TableRequest:
		table, age, vouched := e.holder.AuthoritativeTable(e.now)
		e.out.Reply(m.Reply, TableMessage{Table: table, Age: age, Vouched: vouched})
	case ShareReport:
		e.out.Reply(m.Reply, accepted)
		e.allocator.RecordReport(v.Report, e.now)
	case DeathReport:
		e.out.Reply(m.Reply, accepted)
		e.allocator.RecordDeathReport(v.Instance, e.now)
	}
}

// received takes the versions of a peer and fetches what is newer there.
func (p *peers) received(v Versions) {
	if v.To != p.engine.config.Self.Instance || v.From == v.To {
		return
	}
	p.addresses[v.From] = v.PeerAddress
	p.versions[v.From] = v.Versions.Catalogue
	p.connect(v.From)
	p.setState()
	received := p.mesh.Received(v.From, v.Versions, p.engine.now)
	p.engine.settings.revokedByPeer(received.Revoked)
	pull := received.Pull
	if pull.Catalogue {
		p.engine.out.Peer(PeerCall{Address: v.PeerAddress, Message: CatalogueRequest{}})
	}
	p.heard[v.Domain] = p.engine.now
	p.engine.settings.newsFromPeer(received.News)
	p.pullTerms(pull)
}

// domains returns the failure domains of the list and of the databases in the
// catalogue, and the own one.
func (p *peers) domains() map[core.Domain]bool {
	domains := maps.Clone(p.listed)
	domains[p.engine.config.Self.Domain] = true
	databases := p.engine.settings.keeper.InForce().Databases
	for i := range databases {
		for _, m := range databases[i].Members {
			domains[m.Domain] = true
		}
	}
	return domains
}

// majorityHeard returns the latest time at which a majority of the failure
// domains, the own one included, had been heard directly. It reports false
// before the first catalogue, which tells what domains there are.
func (p *peers) majorityHeard() (time.Time, bool) {
	p.heard[p.engine.config.Self.Domain] = p.engine.now
	var times []time.Time
	for domain := range p.domains() {
		times = append(times, p.heard[domain])
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	_, known := p.engine.settings.inForce()
	return times[len(times)/2], known
}

// pullTerms looks at the members of groups of which a peer knows a later term.
func (p *peers) pullTerms(pull membership.Pull) {
	for database := range pull.Terms {
		if p.engine.groups[database] != nil {
			p.engine.store(ReadGroup{failover.RecordRead{Database: database}})
		}
	}
}

func (p *peers) connect(id core.InstanceID) {
	if !slices.Contains(p.mesh.Links(), id) {
		p.mesh.Connected(id)
	}
}

// answer takes the result of a call to a peer.
func (p *peers) answer(m FromPeerAnswer) {
	switch request := m.Call.Message.(type) {
	case Versions:
		p.versionsAnswered(request, m)
	case CatalogueRequest:
		if answer, ok := m.Answer.(CatalogueMessage); ok && answer.Catalogue != nil {
			p.engine.settings.fromPeer(answer.Catalogue)
		}
	case TableRequest:
		p.engine.shares.tableFromPeer(p.engine, m)
	}
}

func (p *peers) versionsAnswered(request Versions, m FromPeerAnswer) {
	accepted, ok := m.Answer.(Accepted)
	ok = ok && accepted.Instance != unknownInstance
	switch {
	case request.To == unknownInstance:
		p.seedAnswered(accepted, m.Call.Address)
	case ok && accepted.Instance == request.To:
		p.connect(request.To)
	case ok || m.Refused:
		p.dead(request.To, m)
	default:
		p.mesh.Failed(request.To, p.engine.now)
	}
}

// seedAnswered links a seed that has named itself.
func (p *peers) seedAnswered(accepted Accepted, address string) {
	if accepted.Instance == unknownInstance || accepted.Instance == p.engine.config.Self.Instance {
		return
	}
	p.addresses[accepted.Instance] = address
	p.connect(accepted.Instance)
}

// dead passes on the proof that an instance is dead: no process listens at its
// address, or another instance does.
func (p *peers) dead(id core.InstanceID, m FromPeerAnswer) {
	e := p.engine
	p.mesh.Failed(id, e.now)
	if m.Refused {
		e.shares.probeRefused(e, m.Call.Address, m.Asked)
	}
	if e.isAllocator() {
		e.allocator.RecordDeathReport(id, e.now)
		return
	}
	if role := e.mirror.allocator; !role.Deleted && role.Allocator.PeerAddress != "" {
		e.out.Peer(PeerCall{Address: role.Allocator.PeerAddress, Message: DeathReport{Instance: id}})
	}
}

func (p *peers) status() []PeerStatus {
	links := p.mesh.Links()
	list := make([]PeerStatus, 0, len(p.addresses))
	for _, id := range slices.Sorted(maps.Keys(p.addresses)) {
		if id == p.engine.config.Self.Instance {
			continue
		}
		list = append(list, PeerStatus{
			Instance: id, PeerAddress: p.addresses[id], Linked: slices.Contains(links, id), Catalogue: p.versions[id],
		})
	}
	return list
}
