package instance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/lib/clock"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/settings"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/stopplan"
)

// Guards against a planned stop that leaves no time to send the last answers: they are
// decided at Plan.Answers.
func TestLastAnswersHaveTimeToBeSent(t *testing.T) {
	for _, grace := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 6 * time.Second} {
		t.Run(grace.String(), func(t *testing.T) {
			plan, err := stopplan.New(grace, balancerNoticeTime)
			require.NoError(t, err)
			h := &Hosted{settings: &settings.Hosted{StopGrace: grace}, plan: plan}
			h.stopRequestedAt = clock.Now().Add(-plan.Answers)
			require.Greater(t, h.socketsTimeout(), 20*time.Millisecond)
			duties, log := h.shutdownTimeouts()
			require.Greater(t, duties, 20*time.Millisecond)
			require.Greater(t, log, 20*time.Millisecond)
			require.LessOrEqual(t, plan.Answers+duties+log, plan.End)
		})
	}
}
