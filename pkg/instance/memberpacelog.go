package instance

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/telemetry"
)

// eventMemberPace is the log event of a line about how much work a member gets.
const eventMemberPace = "member_pace"

// memberPaceFields returns the fields of the log line. The allowance is in
// statements in flight.
func memberPaceFields(p *session.MemberPace) telemetry.Fields {
	return telemetry.Fields{
		"group": string(p.Database), "member": string(p.Member), "state": p.State,
		"allowance": p.Allowance, "waiting": p.Waiting, "since": p.Since.Format(time.RFC3339Nano),
	}
}
