package e2e

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// rollingRoundsVariable names the environment variable with the number of rolling
	// replacements; it is 1 by default.
	rollingRoundsVariable = "E2E_ROLLING_ROUNDS"
	rollingInstances      = 3
	rollingCallers        = 18
	// maxTransactionPause bounds the pause of a caller between two statements of a
	// transaction. A transaction that began before the sessions of a stopping instance
	// end is over before transactions may be ended.
	maxTransactionPause = 100 * time.Millisecond
	// rollingAnswerTimeout is far longer than the time limit of a statement.
	rollingAnswerTimeout = 10 * time.Second
)

// rollingLoad runs callers that send single statements and transactions through the
// instances in service. Each stays with its connection until the instance closes it.
type rollingLoad struct {
	group     *hostedGroup
	mutex     sync.Mutex
	addresses []string
	// connections are all connections, open or closed.
	connections []*stopCaller
	cancel      context.CancelFunc
	running     sync.WaitGroup
}

// setAddress sets the address of instance i for new connections, or takes the instance
// out of service if it is empty.
func (l *rollingLoad) setAddress(i int, address string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.addresses[i] = address
}

// address returns the address of an instance in service.
func (l *rollingLoad) address() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for {
		if address := l.addresses[rand.IntN(len(l.addresses))]; address != "" {
			return address
		}
	}
}

func (l *rollingLoad) run(ctx context.Context, caller int) {
	for ctx.Err() == nil {
		c, err := connectStopCaller(l.address(), "key-1", fmt.Sprintf("caller %d", caller), l.group.gate)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		l.mutex.Lock()
		l.connections = append(l.connections, c)
		l.mutex.Unlock()
		for ctx.Err() == nil && operate(c, fmt.Sprintf("k%d", caller)) {
			time.Sleep(time.Duration(rand.IntN(20)) * time.Millisecond)
		}
		c.conn.Close()
		<-c.closed
	}
}

// operate sends a single statement or, every third time, a transaction with pauses. It
// reports whether the connection can still be used.
func operate(c *stopCaller, key string) bool {
	read, write := "READ "+key, "WRITE "+key+" v"
	statements := [][]string{{read}, {write}, {"BEGIN", read, write, read, write, "COMMIT"}}[rand.IntN(3)]
	for i, text := range statements {
		if i > 0 {
			time.Sleep(time.Duration(rand.Int64N(int64(maxTransactionPause))))
		}
		x := c.prepare(text)
		c.send(x, rollingAnswerTimeout)
		if !x.answered {
			return false
		}
		if !x.succeeded() {
			break
		}
	}
	// A failed transaction is ended by closing the connection.
	return !c.inTransaction
}

// rollingCounts are the outcomes of the requests of a load.
type rollingCounts struct {
	answered, refused, passed int
	// cut, uncertain, ended and transactionsRefused are violations: requests that were
	// cut, uncertain outcomes, transactions that were ended before their COMMIT by a
	// close, and by a refusal.
	cut, uncertain, ended, transactionsRefused int
	violations                                 []string
}

func (c *rollingCounts) String() string {
	return fmt.Sprintf("%d answered, %d refused, %d passed the close of their connection; %d cut, %d uncertain, %d transactions ended, %d transactions refused",
		c.answered, c.refused, c.passed, c.cut, c.uncertain, c.ended, c.transactionsRefused)
}

// violate counts a violation of a kind and records its description.
func (c *rollingCounts) violate(count *int, kind, description string) {
	*count++
	c.violations = append(c.violations, kind+": "+description)
}

// count returns the outcomes. Answers that do not agree with the commits are violations
// too.
func (l *rollingLoad) count(start time.Time) *rollingCounts {
	counts := &rollingCounts{}
	for _, c := range l.connections {
		for _, x := range c.exchanges {
			run := l.group.gate.run(x.id)
			description := x.describe(run, start)
			switch {
			case x.wasCut(run):
				counts.violate(&counts.cut, "cut", description)
			case !x.answered && x.inTransaction:
				counts.violate(&counts.ended, "transaction ended", description)
			case !x.answered:
				counts.passed++
			case x.answer.errorCode == "":
				counts.answered++
			case !x.promisesNothingKept():
				counts.violate(&counts.uncertain, "uncertain", description)
			case x.inTransaction:
				counts.violate(&counts.transactionsRefused, "transaction refused", description)
			default:
				counts.refused++
			}
		}
		if err := c.checkKept(l.group); err != nil {
			counts.violations = append(counts.violations, err.Error())
		}
	}
	return counts
}

// startRollingLoad starts callers that use all instances.
func (f *hostedFleet) startRollingLoad() *rollingLoad {
	ctx, cancel := context.WithCancel(context.Background())
	l := &rollingLoad{group: f.group, cancel: cancel}
	for _, n := range f.instances {
		l.addresses = append(l.addresses, n.callerAddress)
	}
	for caller := range rollingCallers {
		l.running.Go(func() { l.run(ctx, caller) })
	}
	return l
}

func (l *rollingLoad) stop() {
	l.cancel()
	l.running.Wait()
}

// replace stops an instance under load and starts its replacement.
func (f *hostedFleet) replace(i int, l *rollingLoad) {
	old := f.instances[i]
	stopped := time.Now()
	require.NoError(f.t, old.signal(syscall.SIGTERM))
	// The balancer takes an instance out after two failed probes.
	time.Sleep(2 * time.Second)
	l.setAddress(i, "")
	select {
	case <-old.done:
	case <-time.After(time.Until(stopped.Add(hostedGracePeriod))):
		require.Fail(f.t, "the process did not end within the grace period, after which the platform kills it")
	}
	f.startInstance(i)
	l.setAddress(i, f.instances[i].callerAddress)
}

// Guards against planned stops that interrupt a request or a transaction, or leave its
// outcome uncertain, while all instances are replaced in turn under load.
func TestHostedRollingReplacement(t *testing.T) {
	rounds := 1
	if text := os.Getenv(rollingRoundsVariable); text != "" {
		var err error
		rounds, err = strconv.Atoi(text)
		require.NoError(t, err)
	}
	f := startHostedFleet(t, rollingInstances)
	for round := range rounds {
		l := f.startRollingLoad()
		start := time.Now()
		time.Sleep(500 * time.Millisecond)
		for i := range rollingInstances {
			f.replace(i, l)
		}
		time.Sleep(500 * time.Millisecond)
		l.stop()
		counts := l.count(start)
		t.Logf("round %d: %s", round+1, counts)
		if len(counts.violations) > 0 {
			t.Errorf("round %d, times from its start:\n%s", round+1, strings.Join(counts.violations, "\n"))
		}
		require.Greater(t, counts.answered, 100)
	}
}
