package catalogue

import (
	"crypto/sha256"
	"net/netip"
	"regexp"
	"slices"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Limits of the values in a catalogue.
const (
	// maxRate keeps the sums of shares exact.
	maxRate = 1e9
	// maxConnections guards against a mistyped number.
	maxConnections = 1_000_000
	minSaltBytes   = 8
	minIterations  = 4096
)

// namePattern matches the names that need no quoting in a PostgreSQL startup
// packet and in a log line.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9_.-]{0,62}$`)

// checker collects the violations of one catalogue.
type checker struct {
	catalogue  *Catalogue
	violations []Violation
	seen       map[string]bool
}

// Check returns a violation for every rule that the catalogue breaks.
func Check(c *Catalogue) []Violation {
	checker := &checker{catalogue: c, seen: map[string]bool{}}
	for i := range c.Accounts {
		checker.checkAccount(&c.Accounts[i])
	}
	for i := range c.Databases {
		checker.checkDatabase(&c.Databases[i])
	}
	for i := range c.Entries {
		checker.checkEntry(&c.Entries[i])
	}
	return checker.violations
}

// check adds a violation of the rule unless ok is true.
func (c *checker) check(ok bool, item, rule string) {
	if !ok {
		c.violations = append(c.violations, Violation{Item: item, Rule: rule})
	}
}

// checkName checks the form of a name and that it occurs only once among the
// items of its kind. It returns the item for further violations.
func (c *checker) checkName(kind, name string) string {
	item := kind + " " + name
	c.check(namePattern.MatchString(name), item, "name must match "+namePattern.String())
	c.checkUnique(item)
	return item
}

// checkUnique checks that the item occurs only once in the catalogue.
func (c *checker) checkUnique(item string) {
	c.check(!c.seen[item], item, "must occur only once")
	c.seen[item] = true
}

func (c *checker) checkAccount(a *Account) {
	item := c.checkName("account", string(a.Name))
	c.check(a.Weight >= 1, item, "weight must be at least 1")
	c.check(a.Rate > 0 && a.Rate <= maxRate, item, "rate must be above 0 and at most 1e9 statements/s")
	c.check(a.Burst >= 1 && a.Burst <= maxRate, item, "burst must be from 1 to 1e9 statements")
	if len(a.Keys) == 0 {
		return
	}
	c.check(len(a.Salt) >= minSaltBytes, item, "salt must have at least 8 bytes")
	c.check(a.Iterations >= minIterations, item, "iterations must be at least 4096")
	for i := range a.Keys {
		c.checkKey(&a.Keys[i])
	}
}

func (c *checker) checkKey(key *Key) {
	item := "key " + string(key.ID)
	c.check(key.ID != "", item, "must have an ID")
	c.checkUnique(item)
	c.check(len(key.StoredKey) == sha256.Size, item, "stored key must have 32 bytes")
	c.check(len(key.ServerKey) == sha256.Size, item, "server key must have 32 bytes")
}

func (c *checker) checkDatabase(d *Database) {
	item := c.checkName("database", string(d.Name))
	inRange := d.Connections >= 1 && d.Connections <= maxConnections
	c.check(inRange, item, "connections must be from 1 to 1000000")
	c.check(d.State == DatabaseActive || d.State == DatabaseLeaving, item, "state must be active or leaving")
	c.check(len(d.Members) > 0, item, "must have a member")
	for i := range d.Members {
		c.checkMember(&d.Members[i])
	}
}

func (c *checker) checkMember(m *Member) {
	item := c.checkName("member", string(m.ID))
	c.checkAddress(item, "address", m.Address)
	c.checkAddress(item, "status_address", m.StatusAddress)
	c.check(m.Domain != "", item, "must have a failure domain")
	c.check(m.Slots >= 1, item, "slots must be at least 1")
}

func (c *checker) checkAddress(item, field, address string) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 {
		c.check(false, item, field+" must be IP:port")
		return
	}
	c.checkUnique("address " + address)
}

func (c *checker) checkEntry(e *Entry) {
	item := c.checkName("entry", string(e.Name))
	c.check(e.Owner != "", item, "must have an owner")
	c.check(c.catalogue.Account(e.Account) != nil, item, "account "+string(e.Account)+" must exist")
	c.check(c.catalogue.Database(e.Database) != nil, item, "database "+string(e.Database)+" must exist")
	classes := []core.Class{core.ClassCritical, core.ClassUrgent, core.ClassInteractive, core.ClassBrowse}
	c.check(slices.Contains(classes, e.Class), item, "class must be critical, urgent, interactive or browse")
	c.check(e.MaxAgeMillis >= 0, item, "max_age_ms must not be negative")
	c.check(e.DeadlineMillis > 0, item, "deadline_ms must be above 0")
}
