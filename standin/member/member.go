package member

import (
	"net/netip"
	"os"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/duty"
	"github.com/sassafrasshunt/sassafrasshunt/lib/netloop"
	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
	"github.com/sassafrasshunt/sassafrasshunt/standin/store"
)

const (
	// inboxCapacity is the number of items in the inbox. record.list calls
	// may fill half of it, so the record duty's push of a response and the
	// push of a stop request do not fail.
	inboxCapacity = 64
	// idlePollTimeout limits a poll while no timer is armed.
	idlePollTimeout = time.Minute
)

// timeoutHandler is notified when its timer is due.
type timeoutHandler interface {
	timedOut()
}

// timer is an entry of the member's timer queue.
type timer = timerq.Item[timeoutHandler]

// inboxItem is a record list from the record duty or a stop request.
type inboxItem struct {
	listed *listResponse
	stop   bool
}

// Member is one member of a database group. New builds it on the caller's
// thread; once started, only the member duty uses its state.
type Member struct {
	options  Options
	loop     *netloop.Loop
	timers   timerq.Queue[timeoutHandler]
	store    *store.Store
	recorder *recorder
	inbox    *ring.Ring[inboxItem]
	// recordRingSpace wakes the member duty when the full record ring has free
	// space again.
	recordRingSpace *ring.Signal
	// pendingLists counts the record.list calls without a response.
	pendingLists int

	connection  connectionChart
	transaction transactionChart
	linkChart   linkChart

	sessions map[uint32]*session
	// connections counts the admitted connections; MaxConnections limits it.
	connections  int
	slots        slots
	nextSession  uint64
	nextTx       uint64
	parsed       parseCache
	pendingCalls pendingCalls
	link         *link
	roleTimer    timer
	advanceTimer timer
	faults       faults

	address       netip.AddrPort
	statusAddress netip.AddrPort
	stopped       bool
	// crashed is set by fault.crash.
	crashed bool
	// dataFile is the journal; nil without Options.DataFile.
	dataFile *os.File
	// done is closed when the member duty has ended.
	done chan struct{}
}

// New returns a member that listens but does not serve yet. It returns an
// *OptionError for invalid options, a *netloop.OpError when an address cannot
// be bound, a *JournalError for an invalid data file, and the error of opening
// the data file or the record file.
func New(o Options) (*Member, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	m := &Member{options: o, sessions: map[uint32]*session{}, recordRingSpace: ring.NewSignal(), done: make(chan struct{})}
	m.slots.free = o.Slots
	m.parsed = newParseCache()
	m.pendingCalls.member = m
	m.faults.cut = map[string]bool{}
	m.link = &link{m: m}
	m.link.timer.Value = m.link
	m.roleTimer.Value = roleTick{m}
	m.advanceTimer.Value = advanceTick{m}
	if err := m.compileCharts(); err != nil {
		return nil, err
	}
	if err := m.openResources(); err != nil {
		return nil, err
	}
	return m, nil
}

func (m *Member) compileCharts() error {
	var err error
	if m.connection, err = compileConnection(m.options); err != nil {
		return err
	}
	if m.transaction, err = compileTransaction(); err != nil {
		return err
	}
	m.linkChart, err = compileLink()
	return err
}

// openResources restores the store from the journal, opens the record file and
// binds both addresses.
func (m *Member) openResources() error {
	records, err := m.openJournal()
	if err != nil {
		return err
	}
	m.store, err = store.Restore(store.Config{
		Member:       m.options.Member,
		Primary:      m.options.Primary,
		Term:         m.options.Term,
		Follow:       m.options.Peers[m.options.Follow],
		ReceiveDelay: m.options.ReceiveDelay,
		ApplyLag:     m.options.ApplyLag,
		Journal:      m.appendJournal,
	}, records, time.Now())
	if err != nil {
		return err
	}
	if m.recorder, err = newRecorder(m.options, m.deliverList); err != nil {
		return err
	}
	if m.loop, err = netloop.New(); err != nil {
		return err
	}
	m.inbox = ring.New[inboxItem](inboxCapacity, m.loop)
	if m.address, err = m.loop.Listen(m.options.Listen, m.acceptSession); err != nil {
		return err
	}
	m.statusAddress, err = m.loop.Listen(m.options.StatusListen, m.newEndpoint().Accept)
	return err
}

// Address returns the address that accepts PostgreSQL connections.
func (m *Member) Address() netip.AddrPort {
	return m.address
}

// StatusAddress returns the address of the JSON-RPC status endpoint.
func (m *Member) StatusAddress() netip.AddrPort {
	return m.statusAddress
}

// Start starts the member duty and the record duty in g.
func (m *Member) Start(g *duty.Group) {
	g.Start("record", m.recorder.run)
	g.Start("member", m.run)
}

// Wait blocks until the member duty has ended.
func (m *Member) Wait() {
	<-m.done
}

// Crashed reports whether the method fault.crash ended the member. The result
// is valid after Wait has returned.
func (m *Member) Crashed() bool {
	return m.crashed
}

// Stop requests the end of both duties. It returns false when the inbox is full.
// It is safe for concurrent use.
func (m *Member) Stop() bool {
	return m.inbox.TryPush(inboxItem{stop: true})
}

// run is the member duty.
func (m *Member) run() {
	defer m.close()
	m.armRoleTimer()
	m.link.fire(m.linkChart.primaryChanged)
	for !m.stopped {
		m.drainInbox()
		m.runTimers()
		if !m.inbox.Park() {
			continue
		}
		err := m.loop.Poll(m.pollTimeout())
		m.inbox.Unpark()
		if err != nil {
			return
		}
		m.faults.applyPause()
	}
}

// close ends the member duty and passes the stop on to the record duty.
func (m *Member) close() {
	m.loop.Close()
	m.closeJournal()
	m.pushRecord(recordInput{stop: true})
	close(m.done)
}

func (m *Member) drainInbox() {
	for {
		item, ok := m.inbox.Pop()
		if !ok {
			return
		}
		m.stopped = m.stopped || item.stop
		if item.listed != nil {
			m.pendingLists--
			item.listed.reply.SendResult(item.listed.list)
		}
	}
}

// deliverList passes a response to the member duty. The record duty calls it.
func (m *Member) deliverList(a listResponse) {
	m.inbox.TryPush(inboxItem{listed: &a})
}

func (m *Member) runTimers() {
	now := time.Now()
	for !m.stopped {
		item, ok := m.timers.PopDue(now)
		if !ok {
			return
		}
		item.Value.timedOut()
	}
}

// pollTimeout returns the time until the next timer is due.
func (m *Member) pollTimeout() time.Duration {
	next, ok := m.timers.Next()
	if !ok {
		return idlePollTimeout
	}
	return max(time.Until(next), 0)
}

func (m *Member) arm(t *timer, d time.Duration) {
	m.timers.Arm(t, time.Now().Add(d))
}

// pushRecord waits for free space when the record ring is full.
func (m *Member) pushRecord(input recordInput) {
	for !m.recorder.inputs.TryPush(input) {
		if m.recorder.inputs.NotifySpace(m.recordRingSpace) {
			m.recordRingSpace.Wait(-1)
		}
	}
}

// record completes r with the member's state and passes it to the record duty.
func (m *Member) record(r Record) {
	r.Member = m.options.Member
	r.Time = time.Now()
	r.Role = m.store.Role()
	r.Term = m.store.Term()
	if r.LSN == 0 {
		r.LSN = m.store.Applied()
	}
	m.pushRecord(recordInput{record: &r})
}

// roleTick is called at the end of each interval of the role.
type roleTick struct{ m *Member }

func (t roleTick) timedOut() {
	if t.m.store.Tick() {
		t.m.pendingCalls.sendHeartbeats()
	}
	t.m.armRoleTimer()
}

func (m *Member) armRoleTimer() {
	m.arm(&m.roleTimer, m.store.TickInterval())
}

// advanceTick is called when the delay of a replicated entry has passed.
type advanceTick struct{ m *Member }

func (t advanceTick) timedOut() {
	if t.m.store.Advance(time.Now()) {
		t.m.pendingCalls.answerReady()
	}
	t.m.armAdvanceTimer()
}

func (m *Member) armAdvanceTimer() {
	next, ok := m.store.NextAdvance()
	if !ok {
		m.timers.Disarm(&m.advanceTimer)
		return
	}
	m.timers.Arm(&m.advanceTimer, next)
}
