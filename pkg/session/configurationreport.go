package session

import "time"

// ConfigurationApplied reports, for the log, that a newer configuration is in force for all
// callers.
type ConfigurationApplied struct {
	// Version is the version of the operator's configuration.
	Version uint64
	// Delay is the time since control published it.
	Delay time.Duration
	// Callers is the number of sessions that stay open. Ending is the number of those that
	// end once they are outside a transaction, because the configuration withdrew what they
	// use.
	Callers int
	Ending  int
}

// reportConfigurationApplied logs the configuration that was just applied.
func (e *Engine) reportConfigurationApplied(publishedAt time.Time) {
	report := ConfigurationApplied{Version: e.operatorVersion(), Callers: len(e.callers)}
	if !publishedAt.IsZero() {
		report.Delay = e.now.Sub(publishedAt)
	}
	for _, c := range e.callers {
		if c.endReason != nil {
			report.Ending++
		}
	}
	e.outbox.out.LogConfiguration(report)
}
