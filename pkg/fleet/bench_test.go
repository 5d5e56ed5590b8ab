package fleet

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Measures the cost of one change of a home for an instance of a fleet of the
// target size, in which every instance applies every change.
func BenchmarkChangeAtTargetSize(b *testing.B) {
	h := &harness{now: startTime, feedResponses: map[any]FeedResponse{}}
	config := Config{Self: Instance{Node: "n000", ID: "run", Domain: "d0", Peer: "n000:1"}}
	e, err := New(config, Charts{Instance: load(b, "hosted_instance"), Succession: load(b, "succession"), News: load(b, "news")}, h)
	require.NoError(b, err)
	h.e = e
	s := &Snapshot{Configuration: &Configuration{Version: 1}}
	for i := range 1000 {
		s.Configuration.Accounts = append(s.Configuration.Accounts, catalogue.Account{Name: core.AccountName(fmt.Sprintf("a%d", i)), Rate: 2000})
		s.Configuration.Groups = append(s.Configuration.Groups, Group{Name: core.DatabaseName(fmt.Sprintf("g%d", i)), MemberConnections: 75})
		s.Homes = append(s.Homes, Home{Account: core.AccountName(fmt.Sprintf("a%d", i)), Node: fmt.Sprintf("n%03d", i%930), Instance: "run"})
	}
	for i := range 930 {
		s.Instances = append(s.Instances, Instance{Node: fmt.Sprintf("n%03d", i), ID: "run", Domain: core.Domain(fmt.Sprintf("d%d", i%7)), Peer: fmt.Sprintf("n%03d:1", i)})
	}
	h.handle(StoreSnapshot{Snapshot: s})
	b.ReportAllocs()
	for b.Loop() {
		home := s.Homes[3]
		h.handle(StoreChanges{Changes: []Change{{Home: &home}}})
		h.sessionInputs = h.sessionInputs[:0]
	}
}
