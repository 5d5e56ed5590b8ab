package instance

import (
	"github.com/sirupsen/logrus"

	"github.com/sassafrasshunt/sassafrasshunt/lib/clock"
	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/fleet"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/relay"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/rpc"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// hostedSessionOutputs writes the outputs of the session engine to the rings of
// other duties.
type hostedSessionOutputs struct {
	callers *ringWriter[session.CallerCommand]
	targets *ringWriter[session.TargetCommand]
	fleet   *ring.Ring[fleet.Input]
	peers   *ringWriter[rpc.Command]
	hosted  *Hosted
}

// Caller queues a command to the caller sockets. It always succeeds; a full ring
// pauses the session duty instead.
func (o *hostedSessionOutputs) Caller(c session.CallerCommand) bool {
	o.callers.send(c)
	return true
}

// Target queues a command to the target sockets, like Caller.
func (o *hostedSessionOutputs) Target(c session.TargetCommand) bool {
	o.targets.send(c)
	return true
}

// Classify is not used: in the callers' protocol, each request states whether it
// reads or writes.
func (o *hostedSessionOutputs) Classify(session.ClassifyRequest) bool {
	return false
}

// Control passes a report to the fleet duty and reports false when its ring is full.
func (o *hostedSessionOutputs) Control(r session.ControlReport) bool {
	return o.fleet.TryPush(fleet.SessionReport{Report: r})
}

// Span is not used: hosted instances export no traces.
func (o *hostedSessionOutputs) Span(session.Span) {}

// LogDecision logs the decision on a request, such as a refusal.
func (o *hostedSessionOutputs) LogDecision(d session.Decision) {
	o.hosted.log(logrus.InfoLevel, eventRequest, decisionMessage(&d), decisionFields(&d))
}

// LogMemberPace logs how much work a member gets.
func (o *hostedSessionOutputs) LogMemberPace(p session.MemberPace) {
	o.hosted.log(logrus.InfoLevel, eventMemberPace, p.Reason, memberPaceFields(&p))
}

// LogConfiguration logs a configuration that is in force for callers.
func (o *hostedSessionOutputs) LogConfiguration(c session.ConfigurationApplied) {
	o.hosted.log(logrus.InfoLevel, eventConfigurationApplied, "configuration in force for callers", configurationFields(&c))
}

// hostedFleetOutputs carries out the outputs of the fleet engine.
type hostedFleetOutputs struct {
	hosted  *Hosted
	session *ringWriter[session.Input]
	packer  configurationPacker
}

// Session queues an input to the session duty; a full ring pauses the fleet duty.
func (o *hostedFleetOutputs) Session(in session.Input) { o.session.send(in) }

// SubmitJob passes a job to the worker duty and reports false when its ring is full.
func (o *hostedFleetOutputs) SubmitJob(j fleet.Job) bool { return o.hosted.worker.Push(j) }

// RequestConfiguration requests the configuration of another instance. The request is
// dropped when the rpc ring is full.
func (o *hostedFleetOutputs) RequestConfiguration(address session.PeerAddress) {
	o.hosted.rpc.Send(rpc.Call{
		Tag: configurationTag{}, Address: string(address), Method: relay.MethodConfiguration,
		Params: relay.ConfigurationRequest{Packed: true}, Timeout: shortCallTimeout, Transfer: recordsTransferTimeout,
	})
}

// RequestLiveness requests another instance's liveness report about the subject: when
// the subject last responded to it. The request is dropped when the rpc ring is full.
func (o *hostedFleetOutputs) RequestLiveness(node string, address session.PeerAddress, subject session.LivenessSubject) {
	o.hosted.rpc.Send(rpc.Call{
		Tag: livenessTag{subject: subject, node: node}, Address: string(address),
		Method: relay.MethodLiveness, Params: relay.LivenessRequest{Member: subject.Member, Home: subject.Home}, Timeout: shortCallTimeout,
	})
}

// ProbeInstance pings another instance to find out whether this one can reach it.
func (o *hostedFleetOutputs) ProbeInstance(address session.PeerAddress) {
	o.hosted.rpc.Send(o.hosted.ping(instanceProbeTag{sentAt: clock.Now()}, address))
}

// RevokePrimary asks another instance to stop using a primary. The request is dropped
// when the rpc ring is full; the fleet engine then waits for the other instance's lease
// to end.
func (o *hostedFleetOutputs) RevokePrimary(node string, address session.PeerAddress, group core.DatabaseName, member core.MemberID) {
	o.hosted.rpc.Send(rpc.Call{
		Tag: revocationTag{node: node, member: member}, Address: string(address),
		Method: relay.MethodRevokePrimary, Params: relay.RevokePrimary{Group: group, Member: member}, Timeout: shortCallTimeout,
	})
}

// SendConfiguration answers another instance's request for the configuration.
func (o *hostedFleetOutputs) SendConfiguration(replyTo any, c *fleet.Configuration) {
	o.reply(replyTo, c, func() any { return o.packer.packConfiguration(c) })
}

// SetChangeSource sets where the watcher reads the store's changes. The watcher reads
// its commands after each call, so there is free space in practice; a command that
// finds a full ring is dropped and not repeated.
func (o *hostedFleetOutputs) SetChangeSource(from fleet.ChangeSource) {
	o.hosted.watcher.SetSource(from)
}

// SendFeed answers a follower's request for store changes.
func (o *hostedFleetOutputs) SendFeed(replyTo any, response fleet.FeedResponse) {
	o.reply(replyTo, response, func() any { return o.packer.packFeed(response) })
}

// reply answers a request of another instance with the plain result or, if that instance reads
// it, the packed one.
func (o *hostedFleetOutputs) reply(replyTo, plain any, pack func() any) {
	to, ok := replyTo.(replyHandle)
	if !ok {
		return
	}
	result := plain
	if to.packed {
		result = pack()
	}
	o.hosted.rpc.Send(rpc.Reply{Conn: to.conn, ID: to.id, Result: result})
}

// CheckStore makes the watcher read the store at once, so that an unresponsive
// store is noticed.
func (o *hostedFleetOutputs) CheckStore() { o.hosted.watcher.RereadStore() }

// Deregister ends the registration of this instance, and with it its homes.
func (o *hostedFleetOutputs) Deregister() { o.hosted.registrar.Deregister() }

// RegisterAgain writes the registration of this instance again.
func (o *hostedFleetOutputs) RegisterAgain() { o.hosted.registrar.RegisterAgain() }

// ClaimHome passes a home claim to the registrar. A claim that finds a full ring is
// dropped; the fleet engine repeats it.
func (o *hostedFleetOutputs) ClaimHome(c fleet.HomeClaim) { o.hosted.registrar.ClaimHome(c) }

// SetReady sets what the readiness probe answers.
func (o *hostedFleetOutputs) SetReady(ready bool) { o.hosted.ready.Store(ready) }

// Finish ends the run: the planned stop is complete.
func (o *hostedFleetOutputs) Finish() { o.hosted.finish() }

// Log queues a log line.
func (o *hostedFleetOutputs) Log(l fleet.LogEvent) { o.hosted.logFleetEvent(l) }
