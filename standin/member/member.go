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
	// inboxRing holds the answers of the record duty; the member never has
	// more questions outstanding, so that a push cannot fail.
	inboxCapacity = 64
	// idlePoll bounds a poll without any timer.
	idlePollTimeout = time.Minute
)

// timed is what a timer reports to.
type timeoutHandler interface {
	timedOut()
}

type timer = timerq.Item[timeoutHandler]

type inboxItem struct {
	listed *listResponse
	stop   bool
}

// Member is one member. It is built on the caller's thread and then belongs
// to the member duty.
type Member struct {
	options  Options
	loop     *netloop.Loop
	timers   timerq.Queue[timeoutHandler]
	store    *store.Store
	recorder *recorder
	inbox    *ring.Ring[inboxItem]
	// room wakes the member when it waits for the record ring.
	recordRingSpace *ring.Signal
	pendingLists    int

	connection  connectionChart
	transaction transactionChart
	linkChart   linkChart

	sessions     map[uint32]*session
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
	crashed       bool
	dataFile      *os.File
	done          chan struct{}
}

// New returns a member that listens but does not answer yet. It returns an
// *OptionError for options that cannot be used, a *netloop.OpError when an
// address cannot be bound, and the error of the record file.
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

// Address returns the bound PostgreSQL address.
func (m *Member) Address() netip.AddrPort {
	return m.address
}

// StatusAddress returns the bound address of the status endpoint.
func (m *Member) StatusAddress() netip.AddrPort {
	return m.statusAddress
}

// Start starts the member duty and the record duty in g.
func (m *Member) Start(g *duty.Group) {
	g.Start("record", m.recorder.run)
	g.Start("member", m.run)
}

// Wait returns when the member duty has ended.
func (m *Member) Wait() {
	<-m.done
}

// Crashed reports whether fault.crash ended the member. It is called after
// Wait.
func (m *Member) Crashed() bool {
	return m.crashed
}

// Stop ends both duties. It is safe for concurrent use and reports whether the
// member took the request.
func (m *Member) Stop() bool {
	return m.inbox.TryPush(inboxItem{stop: true})
}

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

// pushRecord waits for room when the record duty is behind.
func (m *Member) pushRecord(input recordInput) {
	for !m.recorder.inputs.TryPush(input) {
		if m.recorder.inputs.NotifyRoom(m.recordRingSpace) {
			m.recordRingSpace.Wait(-1)
		}
	}
}

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
