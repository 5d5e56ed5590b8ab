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

// peers manages the links to other instances and exchanges the versions of the
// shared state with them.
type peers struct {
	engine *Engine
	mesh   *membership.Mesh
	// addresses holds the peer addresses of listed and linked peers.
	addresses map[core.InstanceID]string
	// catalogueVersions holds the catalogue version that each peer last reported.
	catalogueVersions map[core.InstanceID]uint64
	// lastContact holds when a message from each failure domain last arrived.
	lastContact map[core.Domain]time.Time
	// listedDomains holds the failure domains of the platform's list.
	listedDomains map[core.Domain]bool
	// listPending is set while a read of the list has no response.
	listPending bool
	// announcement is the last announcement, nil before the first one.
	announcement *Announce
}

// newPeers returns peers without links. The instance's ID seeds the jitter of
// retries.
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
		engine:            e,
		mesh:              membership.NewMesh(membership.Peer{ID: self.Instance, Address: self.PeerAddress, Domain: self.Domain}, settings, rand.New(rand.NewPCG(seed.Sum64(), 0))),
		addresses:         map[core.InstanceID]string{},
		catalogueVersions: map[core.InstanceID]uint64{},
		lastContact:       map[core.Domain]time.Time{},
		listedDomains:     map[core.Domain]bool{},
	}
}

func (p *peers) start() {
	e := p.engine
	p.readList()
	e.every(listPeriod, p.readList)
	e.every(exchangePeriod, p.exchange)
}

// readList reads the platform's list of instances, unless a read is still
// outstanding: during an outage each call takes its whole timeout.
func (p *peers) readList() {
	if p.listPending {
		return
	}
	p.listPending = true
	p.engine.callPlatform(ListInstances{})
}

// announce adds this instance to the platform's list, or marks it as leaving.
func (p *peers) announce(leaving bool) {
	p.announcement = &Announce{Leaving: leaving}
	p.engine.callPlatform(*p.announcement)
}

// repeatLostAnnouncement repeats the last announcement if the list does not
// contain it.
func (p *peers) repeatLostAnnouncement(list []Peer) {
	if p.announcement == nil {
		return
	}
	wanted := Peer{
		ID: p.engine.config.Self.Instance, PeerAddress: p.engine.config.Self.PeerAddress,
		Domain: p.engine.config.Self.Domain, Leaving: p.announcement.Leaving,
	}
	if !slices.Contains(list, wanted) {
		p.engine.callPlatform(*p.announcement)
	}
}

// listCompleted handles the response with the platform's list. After a failed
// read, the known list stays.
func (p *peers) listCompleted(response StoreResponse) {
	p.listPending = false
	if response.Outcome != Done {
		return
	}
	var list []membership.Peer
	p.forgetUnlinked()
	for _, i := range response.Instances {
		p.listedDomains[i.Domain] = true
		p.addresses[i.ID] = i.PeerAddress
		if !i.Leaving {
			list = append(list, membership.Peer{ID: i.ID, Address: i.PeerAddress, Domain: i.Domain})
		}
	}
	p.mesh.SetList(list)
	p.repeatLostAnnouncement(response.Instances)
	p.exchange()
}

// forgetUnlinked removes the data of unlinked instances and the listed domains.
func (p *peers) forgetUnlinked() {
	links := p.mesh.Links()
	unlinked := func(id core.InstanceID) bool { return !slices.Contains(links, id) }
	maps.DeleteFunc(p.addresses, func(id core.InstanceID, _ string) bool { return unlinked(id) })
	maps.DeleteFunc(p.catalogueVersions, func(id core.InstanceID, _ uint64) bool { return unlinked(id) })
	clear(p.listedDomains)
}

// exchange opens the wanted links and sends the messages of one period.
func (p *peers) exchange() {
	p.updateState()
	links := p.mesh.Links()
	for _, peer := range p.mesh.Wanted(p.engine.now) {
		if !slices.Contains(links, peer.ID) {
			p.sendVersions(peer.ID, peer.Address, membership.Versions{Catalogue: p.catalogueVersion()})
		}
	}
	p.sendAll(p.mesh.Tick(p.engine.now))
	if !p.engine.cache.complete {
		p.querySeeds()
	}
}

// unknownInstance is the receiver in a message to a seed whose ID is not known
// yet. The seed's response contains its ID, and it is linked from then on.
const unknownInstance core.InstanceID = ""

// querySeeds requests the catalogue and the share table for an instance that
// starts while the platform is unavailable.
func (p *peers) querySeeds() {
	for _, address := range p.engine.config.Seeds {
		p.sendVersions(unknownInstance, address, membership.Versions{Catalogue: p.catalogueVersion()})
		p.engine.out.CallPeer(PeerCall{Address: address, Message: CatalogueRequest{}})
		p.engine.out.CallPeer(PeerCall{Address: address, Message: TableRequest{}})
	}
}

// sendUrgent sends what must not wait for the next period.
func (p *peers) sendUrgent() {
	p.updateState()
	p.sendAll(p.mesh.Urgent(p.engine.now))
}

// updateState passes the versions of this instance's state to the mesh.
func (p *peers) updateState() {
	e := p.engine
	state := membership.State{Catalogue: p.catalogueVersion(), Terms: e.terms()}
	if t := e.holder.Table(); t != nil {
		state.Shares = t.Revision
	}
	p.mesh.SetState(state)
}

// catalogueVersion returns the version of the current catalogue, 0 for none.
func (p *peers) catalogueVersion() uint64 {
	return p.engine.configuration.manager.Current().Version
}

// sendAll sends the messages whose receivers' addresses are known.
func (p *peers) sendAll(sends []membership.Send) {
	for _, s := range sends {
		if address := p.addresses[s.Peer]; address != "" {
			p.sendVersions(s.Peer, address, s.Versions)
		}
	}
}

// sendVersions sends a version message to an instance.
func (p *peers) sendVersions(to core.InstanceID, address string, v membership.Versions) {
	self := p.engine.config.Self
	p.engine.out.CallPeer(PeerCall{Address: address, Message: Versions{
		From: self.Instance, PeerAddress: self.PeerAddress, Domain: self.Domain, To: to, Versions: v,
	}})
}

// probe opens a new connection to the address of a lost holder by sending it a
// message.
func (p *peers) probe(probe share.Probe) {
	p.sendVersions(probe.Instance, probe.Address, membership.Versions{Catalogue: p.catalogueVersion()})
}

// handleRequest responds to a request of another instance.
func (p *peers) handleRequest(m FromPeer) {
	e := p.engine
	acknowledged := Acknowledged{Instance: e.config.Self.Instance}
	switch v := m.Message.(type) {
	case Versions:
		e.out.Reply(m.Reply, acknowledged)
		p.versionsReceived(v)
	case CatalogueRequest:
		e.out.Reply(m.Reply, CatalogueMessage{Catalogue: e.configuration.manager.Current()})
	case TableRequest:
		table, age, authoritative := e.holder.AuthoritativeTable(e.now)
		e.out.Reply(m.Reply, TableMessage{Table: table, Age: age, Authoritative: authoritative})
	case ShareReport:
		e.out.Reply(m.Reply, acknowledged)
		e.allocator.RecordReport(v.Report, e.now)
	case DeathReport:
		e.out.Reply(m.Reply, acknowledged)
		e.allocator.RecordDeathReport(v.Instance, e.now)
	}
}

// versionsReceived handles the versions of a peer and fetches what is newer
// there. Messages for another instance are ignored.
func (p *peers) versionsReceived(v Versions) {
	if v.To != p.engine.config.Self.Instance || v.From == v.To {
		return
	}
	p.addresses[v.From] = v.PeerAddress
	p.catalogueVersions[v.From] = v.Versions.Catalogue
	p.addLink(v.From)
	p.updateState()
	received := p.mesh.Received(v.From, v.Versions, p.engine.now)
	p.engine.configuration.keysRevokedByPeer(received.Revoked)
	pull := received.Pull
	if pull.Catalogue {
		p.engine.out.CallPeer(PeerCall{Address: v.PeerAddress, Message: CatalogueRequest{}})
	}
	p.lastContact[v.Domain] = p.engine.now
	p.engine.configuration.contactFromPeer(received.LastContact)
	p.readGroups(pull)
}

// knownDomains returns the failure domains of the instance list and of the
// current catalogue, and the domain of this instance.
func (p *peers) knownDomains() map[core.Domain]bool {
	domains := maps.Clone(p.listedDomains)
	domains[p.engine.config.Self.Domain] = true
	databases := p.engine.configuration.manager.Current().Databases
	for i := range databases {
		for _, m := range databases[i].Members {
			domains[m.Domain] = true
		}
	}
	return domains
}

// majorityContact returns the latest time at which this instance had been in
// direct contact with a majority of the failure domains, including its own. It
// reports false before the first catalogue, from which the domains are known.
func (p *peers) majorityContact() (time.Time, bool) {
	p.lastContact[p.engine.config.Self.Domain] = p.engine.now
	var times []time.Time
	for domain := range p.knownDomains() {
		times = append(times, p.lastContact[domain])
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	_, known := p.engine.configuration.current()
	return times[len(times)/2], known
}

// readGroups reads the records of the groups of which a peer knows a later term.
func (p *peers) readGroups(pull membership.Pull) {
	for database := range pull.Terms {
		if p.engine.groups[database] != nil {
			p.engine.callPlatform(ReadGroup{failover.RecordRead{Database: database}})
		}
	}
}

// addLink records a link to an instance, if it is new.
func (p *peers) addLink(id core.InstanceID) {
	if !slices.Contains(p.mesh.Links(), id) {
		p.mesh.Connected(id)
	}
}

// callCompleted handles the result of a call to a peer.
func (p *peers) callCompleted(m FromPeerResponse) {
	switch request := m.Call.Message.(type) {
	case Versions:
		p.versionsCompleted(request, m)
	case CatalogueRequest:
		if response, ok := m.Response.(CatalogueMessage); ok && response.Catalogue != nil {
			p.engine.configuration.catalogueFromPeer(response.Catalogue)
		}
	case TableRequest:
		p.engine.shares.inheritFromPeer(p.engine, m)
	}
}

// versionsCompleted handles the result of a version message. A refused
// connection, or a response of another instance, proves that the receiver is
// dead; any other failure does not.
func (p *peers) versionsCompleted(request Versions, m FromPeerResponse) {
	acknowledged, ok := m.Response.(Acknowledged)
	ok = ok && acknowledged.Instance != unknownInstance
	switch {
	case request.To == unknownInstance:
		p.seedCompleted(acknowledged, m.Call.Address)
	case ok && acknowledged.Instance == request.To:
		p.addLink(request.To)
	case ok || m.Refused:
		p.reportDead(request.To, m)
	default:
		p.mesh.Failed(request.To, p.engine.now)
	}
}

// seedCompleted links a seed after its response has revealed its ID.
func (p *peers) seedCompleted(acknowledged Acknowledged, address string) {
	if acknowledged.Instance == unknownInstance || acknowledged.Instance == p.engine.config.Self.Instance {
		return
	}
	p.addresses[acknowledged.Instance] = address
	p.addLink(acknowledged.Instance)
}

// reportDead reports to the allocator that an instance is dead: no process
// listens at its address, or another instance does.
func (p *peers) reportDead(id core.InstanceID, m FromPeerResponse) {
	e := p.engine
	p.mesh.Failed(id, e.now)
	if m.Refused {
		e.shares.probeRefused(e, m.Call.Address, m.SentAt)
	}
	if e.isAllocator() {
		e.allocator.RecordDeathReport(id, e.now)
		return
	}
	if role := e.cache.allocator; !role.Deleted && role.Allocator.PeerAddress != "" {
		e.out.CallPeer(PeerCall{Address: role.Allocator.PeerAddress, Message: DeathReport{Instance: id}})
	}
}

// status returns the known peers, ordered by ID.
func (p *peers) status() []PeerStatus {
	links := p.mesh.Links()
	list := make([]PeerStatus, 0, len(p.addresses))
	for _, id := range slices.Sorted(maps.Keys(p.addresses)) {
		if id == p.engine.config.Self.Instance {
			continue
		}
		list = append(list, PeerStatus{
			Instance: id, PeerAddress: p.addresses[id], Linked: slices.Contains(links, id), Catalogue: p.catalogueVersions[id],
		})
	}
	return list
}
