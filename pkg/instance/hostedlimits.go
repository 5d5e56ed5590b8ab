package instance

import "time"

// Capacities and limits of a hosted instance.
const (
	// hostedRingCapacity is the capacity of the rings, in items: one input of every
	// caller that the limit on file descriptors allows.
	hostedRingCapacity = 4096
	// callerDescriptorDivisor and peerDescriptorDivisor set the limits on caller
	// connections and on connections from other instances, as fractions of the file
	// descriptors: 1/2 and 1/4. Each other instance may have one connection. The rest
	// is for files, the store, targets and connections to other instances.
	callerDescriptorDivisor = 2
	peerDescriptorDivisor   = 4
	// heapLimitFraction is the fraction of the memory limit that is set as the Go
	// memory limit; the rest is for stacks, the program and unread input.
	heapLimitFraction = 0.7
	// maxCallerInputBytes limits the buffered input of one caller.
	maxCallerInputBytes = 256 << 10
	// initialMemberConnections limits the connections to each member until the
	// instance has received its first share.
	initialMemberConnections = 2
)

// Timeouts of connections to callers and targets.
const (
	// callerStartupTimeout bounds the wait for a caller's first message; clients give up
	// after 2 s.
	callerStartupTimeout = 10 * time.Second
	// callerAdmissionTimeout bounds the wait for the session duty to admit a caller, which
	// normally takes milliseconds.
	callerAdmissionTimeout = 5 * time.Second
	// callerLastOutputTimeout bounds sending the last output of a session that has ended: the
	// longest message, 1 MiB, at 100 KB/s.
	callerLastOutputTimeout = 10 * time.Second
	// callerPeerCloseTimeout bounds the wait for a caller to close its side after that. Callers
	// close when they read the end; the time covers a lost packet.
	callerPeerCloseTimeout = 500 * time.Millisecond
	// callerFlushTimeout bounds sending the last answers, and the wait for callers to close
	// their side, when the instance ends without a planned stop.
	callerFlushTimeout = 400 * time.Millisecond
	// targetConnectTimeout allows for about a hundred round trips between failure domains.
	targetConnectTimeout = 500 * time.Millisecond
	// targetStartupTimeout leaves a busy member time to start a connection, which takes it
	// 12 to 27 ms of work.
	targetStartupTimeout = time.Second
	// initialTransactionIdleTimeout applies until the operator's setting is known.
	initialTransactionIdleTimeout = 10 * time.Second
	// homeWaitTimeout bounds how long new callers wait after a start until the homes of
	// all accounts are known. It covers the start of all instances within 0.3 s and
	// their claims; clients wait 2 s.
	homeWaitTimeout = 600 * time.Millisecond
	// connectionOpenTimeout covers targetConnectTimeout and targetStartupTimeout, with a
	// margin.
	connectionOpenTimeout = 2 * time.Second
)

// Times of a planned stop.
const (
	// balancerNoticeTime is how long the balancer may take to notice that the instance is
	// not ready: two failed probes, one a second, and the time of an answer.
	balancerNoticeTime = 2200 * time.Millisecond
	// peerFlushTimeout bounds the last answers to other instances, and the wait for them to
	// close their side.
	peerFlushTimeout = 400 * time.Millisecond
	// hostedShutdownTimeout bounds the wait for the duties to end, if the grace period leaves
	// that much; it allows for one call to the store.
	hostedShutdownTimeout = 1200 * time.Millisecond
	// targetDrainFraction is the fraction of the platform's drain time during which a
	// draining target still gets work; the rest covers queued work and late store
	// changes.
	targetDrainFraction = 0.75
)

// Times of store calls, leases and promotions.
const (
	// storeRecoveryGrace is how long entries that are missing from a store which returned
	// after an outage stay valid; running members register again within about 2 s.
	storeRecoveryGrace = 3 * time.Second
	// storeResponseTimeout is a hundred times the usual response time of the store.
	storeResponseTimeout = 500 * time.Millisecond
	// storeWatchWait is how long a watch waits for changes. A watch without a response is
	// detected after storeWatchWait plus storeResponseTimeout, so that a changed
	// configuration is applied within its bound of 3 s.
	storeWatchWait = 2500 * time.Millisecond
	// feedWatchWait is how long a feeder's watch waits for changes. A feeder detects an
	// unresponsive store after feedWatchWait plus storeResponseTimeout; together with the
	// follower's own request to the store, this is within the bound of 3 s for applying
	// a configuration.
	feedWatchWait = time.Second
	// feedResponseMargin is how long after the requested wait a feeder's response must
	// begin: a hundred round trips.
	feedResponseMargin = 300 * time.Millisecond
	// recordsTransferTimeout bounds the transfer of records or of a configuration from
	// another instance while it arrives, beyond the time in which it must begin.
	recordsTransferTimeout = 8 * time.Second
	// storeRetryDelay limits the delay before the second attempt while the store fails.
	// The limit doubles with each failure up to storeMaxRetryDelay, so that the store is
	// read again within 2 s of its return, including storeResponseTimeout and the
	// requests of followers to feeders.
	storeRetryDelay    = 100 * time.Millisecond
	storeMaxRetryDelay = 800 * time.Millisecond
	// storeBatchDelay is how long changes that nothing waits for are collected into
	// one batch.
	storeBatchDelay = 250 * time.Millisecond
	// leaseTTL is longer than a store outage of 9 s that begins just before a renewal.
	// Most calls of a calm fleet are renewals, every leaseRenewInterval; after a failure
	// the next attempt follows sooner. leaseSafetyMargin covers the latency of a late
	// renewal and clock drift.
	leaseTTL           = 13500 * time.Millisecond
	leaseRenewInterval = 3 * time.Second
	leaseSafetyMargin  = 1500 * time.Millisecond
	// platformCallTimeout bounds one call to the store or the platform.
	platformCallTimeout = time.Second
	// memberCommandTimeout bounds a command to a member, including the connection setup.
	memberCommandTimeout = 300 * time.Millisecond
	// claimTTL is the lifetime of a promotion claim after the last renewal of its lease;
	// it is longer than one attempt.
	claimTTL = 5 * time.Second
	// promotionStepTimeout bounds one step of a promotion: a command to each replica.
	promotionStepTimeout = 2 * time.Second
	// promotionRetryDelay is the delay before another promotion attempt.
	promotionRetryDelay = 500 * time.Millisecond
	// primaryLeaseTime is how long an instance uses primaries after its last contact with
	// the store or another failure domain. It covers three lost contacts; a change of
	// primary waits as long for an instance that it cannot reach.
	primaryLeaseTime = time.Second
	// takeoverTimeout bounds the wait for the new primary: three times the platform's
	// time for a promotion (0.6 to 1 s).
	takeoverTimeout = 3 * time.Second
)
