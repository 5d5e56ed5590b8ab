package settings

import "time"

// Field describes one setting, for validation and for the documentation that
// `sassafrasshuntctl settings describe` prints.
type Field struct {
	// Key is the key with its section, such as "listen.callers".
	Key  string
	Unit string
	// Default is the default value as text; "" for a setting without one.
	Default string
	Doc     string
	// set stores a decoded value. It returns the reason when the value is invalid, or "".
	set func(*Settings, any) string
}

// Fields returns the description of every setting, in the order of the file.
func Fields() []Field {
	return fields
}

var fields = []Field{
	{"instance.domain", "name", "", "failure domain of this instance", requiredString(func(s *Settings, v string) { s.Domain = toDomain(v) })},
	{"listen.callers", "IP:port", "", "address for PostgreSQL callers", hostPort(func(s *Settings) *string { return &s.CallerAddress })},
	{"listen.peers", "IP:port", "", "address for other instances", hostPort(func(s *Settings) *string { return &s.PeerAddress })},
	{"listen.admin", "IP:port", "", "address for health, metrics and administration", hostPort(func(s *Settings) *string { return &s.AdminAddress })},
	{"listen.seeds", "list of IP:port", "", "peer addresses of other instances, asked when the platform is down at start", hostPortList(func(s *Settings) *[]string { return &s.Seeds })},
	{"platform.address", "IP:port", "", "the platform's key-value service", hostPort(func(s *Settings) *string { return &s.PlatformAddress })},
	{"platform.call_timeout", "duration", "500ms", "bound of one call", duration(time.Millisecond, time.Minute, func(s *Settings) *time.Duration { return &s.PlatformCallTimeout })},
	{"platform.lease_ttl", "duration", "15s", "lifetime of the instance's lease", duration(time.Second, time.Hour, func(s *Settings) *time.Duration { return &s.LeaseTTL })},
	{"platform.lease_renew", "duration", "5s", "period of lease renewals", duration(100*time.Millisecond, time.Hour, func(s *Settings) *time.Duration { return &s.LeaseRenew })},
	{"target.user", "name", "sassafrasshunt", "user on target connections", requiredString(func(s *Settings, v string) { s.TargetUser = v })},
	{"target.password", "text", "", "password on target connections; empty for none", optionalString(func(s *Settings, v string) { s.TargetPassword = v })},
	{"target.connect_timeout", "duration", "1s", "bound for opening a target connection", duration(time.Millisecond, time.Minute, func(s *Settings) *time.Duration { return &s.TargetConnectTimeout })},
	{"target.idle_close", "duration", "1m", "an idle target connection is closed after this", duration(time.Second, 24*time.Hour, func(s *Settings) *time.Duration { return &s.TargetIdleClose })},
	{"failover.detection_bound", "duration", "600ms", "silence of a primary before a failover", duration(50*time.Millisecond, time.Minute, func(s *Settings) *time.Duration { return &s.DetectionBound })},
	{"failover.heartbeat", "duration", "200ms", "period of member status requests", duration(10*time.Millisecond, time.Minute, func(s *Settings) *time.Duration { return &s.HeartbeatPeriod })},
	{"session.confirm_bound", "duration", "2s", "wait for a majority before a write is uncertain", duration(time.Millisecond, time.Minute, func(s *Settings) *time.Duration { return &s.ConfirmBound })},
	{"session.replica_wait", "duration", "50ms", "wait of a read for a replica before the primary", duration(0, time.Minute, func(s *Settings) *time.Duration { return &s.ReplicaWait })},
	{"session.retry_budget", "fraction", "0.1", "retries as a fraction of requests", fraction(func(s *Settings) *float64 { return &s.RetryBudget })},
	{"session.drain_bound", "duration", "30s", "bound of a graceful stop", duration(time.Second, time.Hour, func(s *Settings) *time.Duration { return &s.DrainBound })},
	{"session.idle_bound", "duration", "24h", "an idle caller is closed after this", duration(time.Second, 30*24*time.Hour, func(s *Settings) *time.Duration { return &s.CallerIdleTimeout })},
	{"session.max_callers", "count", "50000", "callers of this instance", count(1, 1_000_000, func(s *Settings) *int { return &s.MaxCallers })},
	{"session.max_message", "bytes", "16777216", "largest message from a caller", count(1024, 1<<30, func(s *Settings) *int { return &s.MaxMessage })},
	{"share.max_instances", "count", "24", "slots of the whole fleet; the same on every instance", count(1, 10_000, func(s *Settings) *int { return &s.MaxInstances })},
	{"share.floor_fraction", "fraction", "0.25", "part of each limit that is split equally over the slots", fraction(func(s *Settings) *float64 { return &s.FloorFraction })},
	{"share.cutoff_bound", "duration", "15m", "how long an instance without a lease may spend its share", duration(time.Second, 24*time.Hour, func(s *Settings) *time.Duration { return &s.CutoffBound })},
	{"keys.staleness_bound", "duration", "5m", "work that needs a key is refused when nothing was heard from platform or peers for this long", duration(time.Second, 24*time.Hour, func(s *Settings) *time.Duration { return &s.KeyStalenessBound })},
	{"rings.capacity", "items", "4096", "capacity of a duty's ring", count(64, 1<<20, func(s *Settings) *int { return &s.RingCapacity })},
	{"log.level", "level", "info", "debug, info, warning or error", oneOf([]string{"debug", "info", "warning", "error"}, func(s *Settings) *string { return &s.LogLevel })},
	{"trace.exporter", "name", "none", "none, stdout or otlp", oneOf([]string{"none", "stdout", "otlp"}, func(s *Settings) *string { return &s.TraceExporter })},
	{"trace.otlp_endpoint", "IP:port", "", "collector for OTLP over HTTP", optionalString(func(s *Settings, v string) { s.OTLPEndpoint = v })},
	{"admin.operator_key_sha256", "hex", "", "SHA-256 of the operators' key for the administration API; empty disables edits", optionalString(func(s *Settings, v string) { s.OperatorKeyHash = v })},
	{"test.read_policy", "name", "factors", "benchmark baselines: round_robin or primary instead of factors", oneOf([]string{"factors", "round_robin", "primary"}, func(s *Settings) *string { return &s.ReadPolicy })},
	{"test.queue", "name", "fair", "benchmark baseline: fifo instead of fair", oneOf([]string{"fair", "fifo"}, func(s *Settings) *string { return &s.Queue })},
	{"test.acknowledge_at_commit", "bool", "false", "benchmark baseline: acknowledge without confirmation; loses writes", boolean(func(s *Settings) *bool { return &s.AcknowledgeAtCommit })},
}
