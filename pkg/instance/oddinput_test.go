package instance

import (
	"testing"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/clock"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/fleet"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// handleSession passes everything that the fleet engine has sent to the session engine.
func handleSession(h *Hosted) {
	for {
		in, ok := h.sessionDuty.input.Pop()
		if !ok {
			return
		}
		h.sessionDuty.engine.Handle(clock.Now(), in)
	}
}

// Guards against a record of the store, or a message of another instance, that is decoded
// but makes no sense and ends the process. The test fails by a panic.
func TestOddRecordsEndNothing(t *testing.T) {
	account := catalogue.Account{Name: "a", Rate: 10, Burst: 10}
	entry := catalogue.Entry{Name: "e", Database: "g", DeadlineMillis: 1000}
	configurations := map[string]*fleet.Configuration{
		"empty":                   {Version: 1},
		"entry without its group": {Version: 1, Entries: []catalogue.Entry{entry}},
		"groups twice":            {Version: 1, Entries: []catalogue.Entry{entry, entry}, Groups: []fleet.Group{{Name: "g", MemberConnections: 3}, {Name: "g"}}},
		"no connections":          {Version: 1, Entries: []catalogue.Entry{entry}, Groups: []fleet.Group{{Name: "g"}}, Accounts: []catalogue.Account{account, account}},
		"negative figures": {Version: 1, TransactionIdle: -time.Second, Entries: []catalogue.Entry{{Name: "e", Database: "g", DeadlineMillis: -1, MaxAgeMillis: -1}},
			Groups: []fleet.Group{{Name: "g", MemberConnections: -4, SyncReplicas: -1}}, Accounts: []catalogue.Account{{Name: "a", Rate: -1, Burst: -1}}},
	}
	members := []fleet.Announcement{
		{Member: "m", Group: "g", Address: "nowhere", Slots: -3, Role: core.RolePrimary, Revision: 1},
		{Member: "m", Group: "other", Address: "127.0.0.1:1", Revision: 0},
		{Group: "g"},
	}
	for name, c := range configurations {
		t.Run(name, func(t *testing.T) {
			h := newTestHosted(t, &blockingWriter{release: make(chan struct{})})
			engine := h.fleetDuty.engine
			now := clock.Now()
			engine.Handle(now, fleet.StoreSnapshot{AsOf: now, Snapshot: &fleet.Snapshot{
				Configuration: c, Members: members, Instances: []fleet.Instance{{}, h.self}, Homes: []fleet.Home{{}, {Account: "a", Node: "x"}},
				Successions: []fleet.Succession{{}, {Group: "g", Revoked: "m", Promoted: "m"}},
			}})
			engine.Handle(now, fleet.StoreChanges{AsOf: now, Changes: []fleet.Change{{}, {RemovedMember: "x"}, {RemovedInstance: "x"}, {RemovedHome: "x"}, {Succession: &fleet.Succession{}}}})
			engine.Handle(now, fleet.RevocationConfirmed{Node: "x"})
			engine.Handle(now, fleet.JobDone{Job: fleet.Job{Kind: fleet.JobStepDown, Group: "x"}})
			engine.Handle(now, fleet.JobDone{Job: fleet.Job{Kind: fleet.JobPromote, Group: "g", Targets: []fleet.Target{{}}}})
			engine.Tick(now.Add(time.Minute))
			handleSession(h)
			for _, in := range []session.Input{
				session.PrimaryRevoked{Database: "x", Member: "x"}, session.PrimaryRevoked{Database: "g"}, session.PrimaryLease{},
				session.CallerOpened{Caller: 1, Entry: "e"}, session.CallerOpened{Caller: 2, Entry: "e", Key: "k"},
				session.RemoteRequest{Caller: session.RemoteID{Instance: "x", Caller: 1}, Entry: "e", Request: &session.Request{Classification: &session.Classification{}, Payload: &session.Payload{}}},
				session.RelayResult{ID: session.RelayID{Caller: 1}}, session.RelayLost{Address: "x"}, session.TargetReady{Target: 9}, session.RemoteClosed{},
				session.CallerRequest{Caller: 1, Request: &session.Request{Classification: &session.Classification{Kind: session.KindWrite}, Payload: &session.Payload{}, Arrived: now}},
			} {
				h.sessionDuty.engine.Handle(clock.Now(), in)
			}
			h.sessionDuty.engine.Tick(clock.Now().Add(time.Minute))
		})
	}
}
