package core

// AccountName names a client account.
type AccountName string

// EntryName names a catalogue entry.
type EntryName string

// DatabaseName names a group of targets.
type DatabaseName string

// MemberID identifies one target of a database; it is unique in the catalogue.
type MemberID string

// InstanceID identifies one run of an instance; after a restart, an instance has
// a new ID.
type InstanceID string

// Domain names a failure domain.
type Domain string

// KeyID identifies a key of a client account. It is not secret.
type KeyID string

// Class is a traffic class, which decides the priority of statements.
type Class string

// Classes of traffic, most urgent first.
const (
	ClassCritical    Class = "critical"
	ClassUrgent      Class = "urgent"
	ClassInteractive Class = "interactive"
	ClassBrowse      Class = "browse"
)

// Role is the role that a member reports.
type Role string

// Roles of a member.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
	// RoleFenced is a member that accepted a newer term and has no primary yet.
	RoleFenced Role = "fenced"
)
