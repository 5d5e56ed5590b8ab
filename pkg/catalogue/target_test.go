package catalogue

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// targetCatalogue returns a catalogue with two keys per account and three members
// per database. The entries are spread evenly over the accounts and databases.
func targetCatalogue(accounts, databases, entries int) *Catalogue {
	c := &Catalogue{Version: 1, EditID: "edit-1"}
	for i := range accounts {
		a := Account{
			Name: core.AccountName(fmt.Sprintf("account-%04d", i)), Weight: 1, Rate: 1000, Burst: 1000,
			Salt: bytes.Repeat([]byte{1}, 16), Iterations: minIterations,
		}
		for k := range 2 {
			a.Keys = append(a.Keys, Key{
				ID: core.KeyID(fmt.Sprintf("k-%04d-%d", i, k)), StoredKey: bytes.Repeat([]byte{2}, 32), ServerKey: bytes.Repeat([]byte{3}, 32),
			})
		}
		c.Accounts = append(c.Accounts, a)
	}
	for i := range databases {
		d := Database{Name: core.DatabaseName(fmt.Sprintf("database-%04d", i)), Connections: 75, State: DatabaseActive}
		for m := range 3 {
			host := fmt.Sprintf("10.%d.%d.%d", m, i/250, i%250)
			d.Members = append(d.Members, Member{
				ID: core.MemberID(fmt.Sprintf("database-%04d-%d", i, m)), Address: host + ":5432", StatusAddress: host + ":5433",
				Domain: core.Domain(fmt.Sprintf("domain-%d", m)), Slots: 3,
			})
		}
		c.Databases = append(c.Databases, d)
	}
	for i := range entries {
		c.Entries = append(c.Entries, Entry{
			Name: core.EntryName(fmt.Sprintf("entry-%05d", i)), Owner: "roads", Account: c.Accounts[i%accounts].Name,
			Database: c.Databases[i%databases].Name, Class: core.ClassInteractive, MaxAgeMillis: 1000, DeadlineMillis: 8000,
		})
	}
	return c
}

// BenchmarkCatalogueAtTarget reports the size of catalogues up to the target size,
// and the time to encode one, to decode and check it, and to compare it with its
// previous version.
func BenchmarkCatalogueAtTarget(b *testing.B) {
	for _, size := range []struct{ accounts, databases, entries int }{{8, 3, 8}, {8, 1000, 1000}, {100, 1000, 1000}, {1000, 1000, 2000}} {
		c := targetCatalogue(size.accounts, size.databases, size.entries)
		text, err := c.Encode()
		require.NoError(b, err)
		name := fmt.Sprintf("accounts=%d/databases=%d/entries=%d", size.accounts, size.databases, size.entries)
		b.Run(name+"/encode", func(b *testing.B) {
			for b.Loop() {
				_, _ = c.Encode()
			}
			b.ReportMetric(float64(len(text)), "catalogue-bytes")
		})
		b.Run(name+"/decode", func(b *testing.B) {
			for b.Loop() {
				_, err = Decode(text)
			}
			require.NoError(b, err)
		})
		b.Run(name+"/diff", func(b *testing.B) {
			next := *c
			next.Accounts = append([]Account(nil), c.Accounts...)
			next.Accounts[0].Rate++
			for b.Loop() {
				Diff(c, &next)
			}
		})
	}
}
