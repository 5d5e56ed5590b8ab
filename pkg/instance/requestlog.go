package instance

import (
	"github.com/sirupsen/logrus"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/linkio"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/telemetry"
)

// eventRequest is the log event of a line about one request.
const eventRequest = "request"

// eventDutyLeftWork is the log event of a decision duty that ended with unhandled inputs or
// unsent outputs.
const eventDutyLeftWork = "duty_left_work"

// logCaller queues a log line of the caller sockets.
func (h *Hosted) logCaller(l linkio.CallerLog) {
	h.log(logLevel(l.Warning), l.Event, l.Message, telemetry.Fields(l.Fields))
}

// logLeftWork logs what the session duty left behind when it ended.
func (h *Hosted) logLeftWork(inputs, outputs int) {
	if inputs == 0 && outputs == 0 {
		return
	}
	h.log(logrus.WarnLevel, eventDutyLeftWork, "the session duty ended with work left", telemetry.Fields{
		"duty": "session", "inputs": inputs, "outputs": outputs,
	})
}

// eventConfigurationApplied is the log event of a configuration that is in force for callers.
const eventConfigurationApplied = "configuration_applied"

// configurationFields returns the fields of the log line. The delay is in milliseconds.
func configurationFields(c *session.ConfigurationApplied) telemetry.Fields {
	return telemetry.Fields{
		"version": c.Version, "delay_ms": c.Delay.Milliseconds(), "callers": c.Callers, "ending": c.Ending,
	}
}

// decisionMessage returns the message of the log line for d.
func decisionMessage(d *session.Decision) string {
	switch {
	case d.Refusal != nil:
		return d.Refusal.Message
	case d.MemberError != "":
		return "the member returned an error"
	}
	return "answered"
}

// decisionFields returns the fields of the log line for d. Durations are in
// milliseconds. Fields that do not apply to the request are left out.
func decisionFields(d *session.Decision) telemetry.Fields {
	fields := telemetry.Fields{
		"request": d.Request, "caller": uint64(d.Caller), "account": string(d.Account), "entry": string(d.Entry),
		"waited_ms": d.Waited.Milliseconds(), "version": d.Version,
	}
	if d.Refusal != nil {
		fields["reason"] = string(d.Refusal.Reason)
		fields["outcome"] = string(d.Refusal.Outcome)
	}
	if d.MemberError != "" {
		fields["member_error"] = d.MemberError
	}
	if d.Member != "" {
		fields["member"] = string(d.Member)
		fields["ran_ms"] = d.Ran.Milliseconds()
	}
	if d.Choice != "" {
		fields["choice"] = d.Choice
	}
	if d.Retries > 0 {
		fields["repeats"] = d.Retries
	}
	if !d.RequiredPosition.IsZero() {
		fields["needed"] = d.RequiredPosition.String()
	}
	if d.PositionAge >= 0 {
		fields["position_age_ms"] = d.PositionAge.Milliseconds()
	}
	return fields
}
