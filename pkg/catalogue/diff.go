package catalogue

import "fmt"

// Diff returns the changes from one catalogue to another, one line each. The
// lines never contain a salt or a verifier.
func Diff(from, to *Catalogue) []string {
	var lines []string
	lines = append(lines, diffItems("account", from.Accounts, to.Accounts, accountName, describeAccount)...)
	lines = append(lines, diffItems("key", keysOf(from), keysOf(to), keyName, describeKey)...)
	lines = append(lines, diffItems("database", from.Databases, to.Databases, databaseName, describeDatabase)...)
	lines = append(lines, diffItems("member", membersOf(from), membersOf(to), memberName, describeMember)...)
	return append(lines, diffItems("entry", from.Entries, to.Entries, entryName, describeEntry)...)
}

// accountKey is a key with the name of its account.
type accountKey struct {
	account string
	key     Key
}

// databaseMember is a member with the name of its database.
type databaseMember struct {
	database string
	member   Member
}

func keysOf(c *Catalogue) []accountKey {
	var keys []accountKey
	for _, a := range c.Accounts {
		for _, k := range a.Keys {
			keys = append(keys, accountKey{account: string(a.Name), key: k})
		}
	}
	return keys
}

func membersOf(c *Catalogue) []databaseMember {
	var members []databaseMember
	for _, d := range c.Databases {
		for _, m := range d.Members {
			members = append(members, databaseMember{database: string(d.Name), member: m})
		}
	}
	return members
}

func accountName(a Account) string       { return string(a.Name) }
func keyName(k accountKey) string        { return string(k.key.ID) }
func databaseName(d Database) string     { return string(d.Name) }
func memberName(m databaseMember) string { return string(m.member.ID) }
func entryName(e Entry) string           { return string(e.Name) }

func describeAccount(a Account) string {
	return fmt.Sprintf("weight %d, rate %g/s, burst %g", a.Weight, a.Rate, a.Burst)
}

func describeKey(k accountKey) string {
	if k.key.Revoked {
		return "account " + k.account + ", revoked"
	}
	return "account " + k.account
}

func describeDatabase(d Database) string {
	return fmt.Sprintf("connections %d, %s", d.Connections, d.State)
}

func describeMember(m databaseMember) string {
	return fmt.Sprintf("database %s, address %s, status address %s, domain %s, slots %d",
		m.database, m.member.Address, m.member.StatusAddress, m.member.Domain, m.member.Slots)
}

func describeEntry(e Entry) string {
	return fmt.Sprintf("owner %s, account %s, database %s, class %s, open %t, read only %t, idempotent %t, "+
		"max age %v, deadline %v", e.Owner, e.Account, e.Database, e.Class, e.Open, e.ReadOnly, e.Idempotent,
		e.MaxAge(), e.Deadline())
}

// diffItems returns the differences of two lists of named items: "+" for an added
// item, "~" for a changed one and "-" for a removed one.
func diffItems[T any](kind string, from, to []T, name, describe func(T) string) []string {
	old := map[string]string{}
	for _, item := range from {
		old[name(item)] = describe(item)
	}
	var lines []string
	present := map[string]bool{}
	for _, item := range to {
		id, text := name(item), describe(item)
		present[id] = true
		before, existed := old[id]
		switch {
		case !existed:
			lines = append(lines, fmt.Sprintf("+ %s %s: %s", kind, id, text))
		case before != text:
			lines = append(lines, fmt.Sprintf("~ %s %s: %s -> %s", kind, id, before, text))
		}
	}
	for _, item := range from {
		if id := name(item); !present[id] {
			lines = append(lines, fmt.Sprintf("- %s %s: %s", kind, id, old[id]))
		}
	}
	return lines
}
