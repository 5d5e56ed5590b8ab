package catalogue

import (
	"crypto/sha256"
	"net/netip"
	"regexp"
	"slices"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Bounds of a catalogue.
const (
	// largestRate keeps sums of shares exact.
	largestRate = 1e9
	// largestConnections is a guard against a mistyped figure.
	largestConnections = 1_000_000
	minSaltBytes       = 8
	minIterations      = 4096
)

// namePattern is what a PostgreSQL startup packet and a log line carry without
// quoting.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9_.-]{0,62}$`)

// checker collects the faults of one catalogue.
type checker struct {
	c      *Catalogue
	faults []Fault
	seen   map[string]bool
}

// Check returns every rule that the catalogue breaks.
func Check(c *Catalogue) []Fault {
	k := &checker{c: c, seen: map[string]bool{}}
	for i := range c.Accounts {
		k.account(&c.Accounts[i])
	}
	for i := range c.Databases {
		k.database(&c.Databases[i])
	}
	for i := range c.Entries {
		k.entry(&c.Entries[i])
	}
	return k.faults
}

// must adds a fault unless the rule holds.
func (k *checker) must(holds bool, item, rule string) {
	if !holds {
		k.faults = append(k.faults, Fault{Item: item, Rule: rule})
	}
}

// name checks the form of a name and that it occurs once.
func (k *checker) name(kind, name string) string {
	item := kind + " " + name
	k.must(namePattern.MatchString(name), item, "name must match "+namePattern.String())
	k.unique(item)
	return item
}

func (k *checker) unique(item string) {
	k.must(!k.seen[item], item, "must occur only once")
	k.seen[item] = true
}

func (k *checker) account(a *Account) {
	item := k.name("account", string(a.Name))
	k.must(a.Weight >= 1, item, "weight must be at least 1")
	k.must(a.Rate > 0 && a.Rate <= largestRate, item, "rate must be above 0 and at most 1e9 statements/s")
	k.must(a.Burst >= 1 && a.Burst <= largestRate, item, "burst must be from 1 to 1e9 statements")
	if len(a.Keys) == 0 {
		return
	}
	k.must(len(a.Salt) >= minSaltBytes, item, "salt must have at least 8 bytes")
	k.must(a.Iterations >= minIterations, item, "iterations must be at least 4096")
	for i := range a.Keys {
		k.key(&a.Keys[i])
	}
}

func (k *checker) key(key *Key) {
	item := "key " + string(key.ID)
	k.must(key.ID != "", item, "must have an ID")
	k.unique(item)
	k.must(len(key.StoredKey) == sha256.Size, item, "stored key must have 32 bytes")
	k.must(len(key.ServerKey) == sha256.Size, item, "server key must have 32 bytes")
}

func (k *checker) database(d *Database) {
	item := k.name("database", string(d.Name))
	inRange := d.Connections >= 1 && d.Connections <= largestConnections
	k.must(inRange, item, "connections must be from 1 to 1000000")
	k.must(d.State == DatabaseActive || d.State == DatabaseLeaving, item, "state must be active or leaving")
	k.must(len(d.Members) > 0, item, "must have a member")
	for i := range d.Members {
		k.member(&d.Members[i])
	}
}

func (k *checker) member(m *Member) {
	item := k.name("member", string(m.ID))
	k.address(item, "address", m.Address)
	k.address(item, "status_address", m.StatusAddress)
	k.must(m.Domain != "", item, "must have a failure domain")
	k.must(m.Slots >= 1, item, "slots must be at least 1")
}

func (k *checker) address(item, field, address string) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 {
		k.must(false, item, field+" must be IP:port")
		return
	}
	k.unique("address " + address)
}

func (k *checker) entry(e *Entry) {
	item := k.name("entry", string(e.Name))
	k.must(e.Owner != "", item, "must have an owner")
	k.must(k.c.Account(e.Account) != nil, item, "account "+string(e.Account)+" must exist")
	k.must(k.c.Database(e.Database) != nil, item, "database "+string(e.Database)+" must exist")
	classes := []core.Class{core.ClassUrgent, core.ClassInteractive, core.ClassBrowse}
	k.must(slices.Contains(classes, e.Class), item, "class must be urgent, interactive or browse")
	k.must(e.MaxAgeMillis >= 0, item, "max_age_ms must not be negative")
	k.must(e.DeadlineMillis > 0, item, "deadline_ms must be above 0")
}
