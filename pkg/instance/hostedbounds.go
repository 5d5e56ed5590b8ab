package instance

import "time"

// Sizes of a hosted instance.
const (
	// hostedRing is the capacity of its rings, in items: one input of every caller
	// that the descriptors allow.
	hostedRing = 4096
	// callerDescriptors and peerDescriptors are the parts of the descriptors for
	// callers and for connections from other instances, each of which may have one;
	// the rest is for files, the store, targets and connections to other instances.
	callerDescriptors = 2
	peerDescriptors   = 4
	// memoryFraction is the part of the memory limit that the heap may use; the
	// rest is for stacks, the program and unread input.
	memoryFraction = 0.7
	// maxCallerInput bounds the unread input of a caller, in bytes.
	maxCallerInput = 256 << 10
	// firstConnections bounds the connections to a member until a share is in force.
	firstConnections = 2
)

// Bounds towards callers and targets.
const (
	// callerStartup bounds the wait for the first message; clients give up after 2 s.
	callerStartup = 10 * time.Second
	// callerAdmission bounds the wait for session, which answers in milliseconds.
	callerAdmission = 5 * time.Second
	// callerLinger bounds the sending of the last answers at a stop.
	callerLinger = 500 * time.Millisecond
	// targetConnect is some hundred round trips between failure domains.
	targetConnect = 500 * time.Millisecond
	// targetStartup leaves a busy member time for its 12 to 27 ms of work.
	targetStartup = time.Second
	// firstTransactionIdle applies until the operator's bound is known.
	firstTransactionIdle = 10 * time.Second
	// homeWait covers the start of all instances within 0.3 s and their claims;
	// clients wait 2 s.
	homeWait = 600 * time.Millisecond
	// connectionOpen is the sum of connecting and startup, with a margin.
	connectionOpen = 2 * time.Second
)

// Bounds of stops.
const (
	// balancerNotice is two missed probes of the balancer, one a second, and the
	// time of an answer.
	balancerNotice = 2200 * time.Millisecond
	// stopReserve is the part of the grace time for the end of the duties, whose
	// calls to the store take up to a second.
	stopReserve = 1700 * time.Millisecond
	// hostedEnd bounds the end of the duties: one call to the store. With logEnd it
	// is within stopReserve.
	hostedEnd = 1200 * time.Millisecond
	// sessionDrainPart is the part of the grace time that an open transaction has.
	sessionDrainPart = 2
	// targetDrainPart of the time that a draining target may get work is used; the
	// rest is for queues and late news.
	targetDrainPart = 0.75
)

// Bounds of the store and of promotions.
const (
	// returnWait is how long entries that a returning store lacks still count;
	// living members are back within about two seconds.
	returnWait = 3 * time.Second
	// storeAnswer is a hundred times the store's usual answer.
	storeAnswer = 500 * time.Millisecond
	// storeWait with storeAnswer is the time after which a silent watch is noticed,
	// within the bound of a configuration (3 s).
	storeWait = 2500 * time.Millisecond
	// feedWait with storeAnswer is the time after which a feeder notices a silent
	// store; with the follower's own question to the store it is within the bound
	// of a configuration (3 s).
	feedWait = time.Second
	// feedAnswer is the time of an answer between instances beyond the wait, a
	// hundred round trips.
	feedAnswer = 300 * time.Millisecond
	// storePause is the time between two attempts while the store fails.
	storePause = 100 * time.Millisecond
	// storeGather puts changes together that nobody waits for.
	storeGather = 250 * time.Millisecond
	// leaseTTL outlives a store outage of 9 s; leaseRenew leaves several attempts,
	// and leaseMargin covers a late renewal's way and the pace of clocks.
	leaseTTL    = 12 * time.Second
	leaseRenew  = 1500 * time.Millisecond
	leaseMargin = 1500 * time.Millisecond
	// callBound bounds a single call to the store or the platform.
	callBound = time.Second
	// memberOrder bounds an order to a member, connection included.
	memberOrder = 300 * time.Millisecond
	// claimTTL outlives one attempt of a promotion.
	claimTTL = 5 * time.Second
	// promotionStep bounds one step of a promotion: an order to each replica.
	promotionStep = 2 * time.Second
	// promotionRetry is the pause before another attempt.
	promotionRetry = 500 * time.Millisecond
	// takeover is three times the platform's time for a promotion (0.6 to 1 s).
	takeover = 3 * time.Second
)
