package instance

import (
	"github.com/sirupsen/logrus"

	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/fleet"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/relay"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/rpc"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// hostedSession puts the outputs of the session engine into rings.
type hostedSession struct {
	callers *port[session.CallerCommand]
	targets *port[session.TargetCommand]
	fleet   *ring.Ring[fleet.Input]
	peers   *port[rpc.Command]
	hosted  *Hosted
}

func (o *hostedSession) Caller(c session.CallerCommand) bool {
	o.callers.send(c)
	return true
}

func (o *hostedSession) Target(c session.TargetCommand) bool {
	o.targets.send(c)
	return true
}

// Classify is not used: the callers' protocol says what a request does.
func (o *hostedSession) Classify(session.ClassifyRequest) bool {
	return false
}

func (o *hostedSession) Control(r session.ControlReport) bool {
	return o.fleet.TryPush(fleet.FromSession{Report: r})
}

func (o *hostedSession) Span(session.Span) {}

func (o *hostedSession) Note(d session.Decision) {
	o.hosted.log(logrus.InfoLevel, eventRequest, decisionMessage(&d), decisionFields(&d))
}

// hostedFleet carries out the outputs of the fleet engine.
type hostedFleet struct {
	hosted  *Hosted
	session *port[session.Input]
}

func (o *hostedFleet) Session(in session.Input) { o.session.send(in) }

func (o *hostedFleet) Work(j fleet.Job) bool { return o.hosted.worker.Push(j) }

func (o *hostedFleet) AskConfiguration(address session.PeerAddress) {
	o.hosted.rpc.Send(rpc.Call{Tag: configurationTag{}, Address: string(address), Method: relay.MethodConfiguration, Timeout: shortCall})
}

func (o *hostedFleet) AskOpinion(node string, address session.PeerAddress, subject session.Subject) {
	o.hosted.rpc.Send(rpc.Call{
		Tag: opinionTag{subject: subject, node: node}, Address: string(address),
		Method: relay.MethodHeard, Params: relay.HeardQuestion{Member: subject.Member, Home: subject.Home}, Timeout: shortCall,
	})
}

func (o *hostedFleet) ProbeInstance(address session.PeerAddress) {
	o.hosted.rpc.Send(o.hosted.ping(reachTag{}, address))
}

func (o *hostedFleet) GiveConfiguration(reply any, c *fleet.Configuration) {
	if to, ok := reply.(replyTo); ok {
		o.hosted.rpc.Send(rpc.Reply{Conn: to.conn, ID: to.id, Result: c})
	}
}

// News has room as long as the watcher takes its orders, which it does after each
// call; an order for which there is none is not repeated.
func (o *hostedFleet) News(from fleet.NewsFrom) { o.hosted.watcher.Follow(from) }

func (o *hostedFleet) GiveFeed(reply any, a fleet.FeedAnswer) {
	if to, ok := reply.(replyTo); ok {
		o.hosted.rpc.Send(rpc.Reply{Conn: to.conn, ID: to.id, Result: a})
	}
}

func (o *hostedFleet) CheckStore() { o.hosted.watcher.Check() }

func (o *hostedFleet) Leave() { o.hosted.registrar.Leave() }

// ClaimHome drops a claim that finds no room; it is repeated.
func (o *hostedFleet) ClaimHome(c fleet.HomeClaim) { o.hosted.registrar.ClaimHome(c) }

func (o *hostedFleet) Ready(ready bool) { o.hosted.ready.Store(ready) }

func (o *hostedFleet) Finish() { o.hosted.finish() }

func (o *hostedFleet) Log(l fleet.LogEvent) { o.hosted.fleetLog(l) }
