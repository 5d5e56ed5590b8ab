package instance

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/control"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/failover"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/membership"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/rpc"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/share"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/store"
)

// drawName draws a short lower-case name.
func drawName[S ~string](t *rapid.T, label string) S {
	return S(rapid.StringMatching(`[a-z][a-z0-9-]{0,7}`).Draw(t, label))
}

func drawTable(t *rapid.T) *share.Table {
	account, database := drawName[core.AccountName](t, "account"), drawName[core.DatabaseName](t, "database")
	rate := share.Rate{Rate: 1000, Burst: 2000}
	floors := share.Floors{
		Rates:       map[core.AccountName]share.Rate{account: rate},
		Connections: map[core.DatabaseName]int{database: 1},
	}
	return &share.Table{
		Revision: rapid.Uint64().Draw(t, "revision"), CatalogueVersion: 3, Floors: floors, RetainedFloors: floors,
		Slots: []share.Slot{{
			State: "granted", Instance: drawName[core.InstanceID](t, "instance"), PeerAddress: "127.0.0.1:1",
			Domain: drawName[core.Domain](t, "domain"), Lease: drawName[share.LeaseID](t, "lease"), GrantRevision: 2, RatesLowered: 3,
			Accounts:  map[core.AccountName]share.RateShare{account: {Held: rate, Limit: rate}},
			Databases: map[core.DatabaseName]share.ConnectionShare{database: {Held: 2, Limit: 1}},
		}},
	}
}

func drawVersions(t *rapid.T) control.Versions {
	return control.Versions{
		From: drawName[core.InstanceID](t, "from"), To: drawName[core.InstanceID](t, "to"),
		PeerAddress: "127.0.0.1:1", Domain: drawName[core.Domain](t, "domain"),
		Versions: membership.Versions{
			Catalogue: rapid.Uint64().Draw(t, "catalogue"), Shares: rapid.Uint64().Draw(t, "shares"),
			TermsDigest: rapid.Uint64().Draw(t, "digest"), AllTerms: rapid.Bool().Draw(t, "all"),
			NewsAge: time.Duration(rapid.Int64Min(0).Draw(t, "age")),
			Terms:   map[core.DatabaseName]core.Term{drawName[core.DatabaseName](t, "db"): core.Term(rapid.Uint64().Draw(t, "term"))},
			Revoked: []core.KeyID{drawName[core.KeyID](t, "key")},
		},
	}
}

func drawReport(t *rapid.T) control.ShareReport {
	return control.ShareReport{Report: share.Report{
		Slot: rapid.IntRange(0, 999).Draw(t, "slot"), Instance: drawName[core.InstanceID](t, "instance"),
		RatesApplied: rapid.Uint64().Draw(t, "rates"), ConnectionsApplied: rapid.Uint64().Draw(t, "connections"),
		Accounts:  map[core.AccountName]float64{drawName[core.AccountName](t, "account"): rapid.Float64Range(0, 1e6).Draw(t, "demand")},
		Databases: map[core.DatabaseName]int{drawName[core.DatabaseName](t, "database"): 3},
	}}
}

// Guards against a peer request that changes when it is encoded and decoded.
func TestPeerRequestsSurviveEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for _, m := range []control.PeerMessage{
			drawVersions(t), drawReport(t), control.CatalogueRequest{}, control.TableRequest{},
			control.DeathReport{Instance: drawName[core.InstanceID](t, "dead")},
		} {
			call, err := encodePeerCall(control.PeerCall{Address: "127.0.0.1:1", Message: m})
			require.NoError(t, err)
			raw, err := json.Marshal(call.Params)
			require.NoError(t, err)
			decoded, remote := decodePeerRequest(call.Method, raw)
			require.Nil(t, remote)
			require.Equal(t, m, decoded)
		}
	})
}

// Guards against a peer response that changes when it is encoded and decoded, and
// against a share table that looks newer than it is to its receiver.
func TestPeerAnswersSurviveEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := control.TableMessage{
			Table: drawTable(t), Age: time.Duration(rapid.Int64Min(0).Draw(t, "age")), Authoritative: rapid.Bool().Draw(t, "vouched"),
		}
		for request, m := range map[control.PeerMessage]control.PeerMessage{
			control.TableRequest{}:     table,
			control.CatalogueRequest{}: control.CatalogueMessage{Catalogue: &catalogue.Catalogue{Version: 7, EditID: "e"}},
			control.DeathReport{}:      control.Acknowledged{Instance: drawName[core.InstanceID](t, "instance")},
		} {
			result, err := encodePeerMessage(m)
			require.NoError(t, err)
			raw, err := json.Marshal(result)
			require.NoError(t, err)
			in := decodePeerResult(control.PeerCall{Message: request}, rpc.Result{Raw: raw})
			require.Equal(t, m, in.(control.FromPeerResponse).Response)
		}
	})
}

// Guards against confusing a refused connection with other failures: only a refused
// connection proves that the other instance is dead.
func TestOnlyARefusedConnectionIsRefused(t *testing.T) {
	for _, err := range []error{
		&rpc.TimeoutError{}, &rpc.ClosedError{}, &rpc.OverloadError{}, &rpc.RemoteError{Code: 1}, errors.New("other"),
	} {
		require.False(t, decodePeerResult(control.PeerCall{}, rpc.Result{Err: err}).(control.FromPeerResponse).Refused)
	}
	require.True(t, decodePeerResult(control.PeerCall{}, rpc.Result{Err: &rpc.RefusedError{}}).(control.FromPeerResponse).Refused)
}

// Guards against a stored record that changes when it is encoded and decoded.
func TestRecordsSurviveEncoding(t *testing.T) {
	codec := &storeCodec{}
	rapid.Check(t, func(t *rapid.T) {
		claim := share.Claim{
			Slot: rapid.IntRange(0, 999).Draw(t, "slot"), Instance: drawName[core.InstanceID](t, "instance"),
			PeerAddress: "127.0.0.1:1", Domain: "fyn", Lease: "l1", Released: rapid.Bool().Draw(t, "released"),
		}
		record := failover.Record{
			Term: core.Term(rapid.Uint64Min(1).Draw(t, "term")), Phase: failover.PhaseServing, Primary: "m0", Decider: "i1",
			Nonce: drawName[string](t, "nonce"), Start: core.LSN(rapid.Uint64().Draw(t, "start")),
		}
		table, allocator := drawTable(t), control.Allocator{Instance: "i1", PeerAddress: "127.0.0.1:1"}
		c := &catalogue.Catalogue{Version: 3}
		for operation, want := range map[control.StoreOperation]control.Record{
			control.PutClaim{Claim: claim}:             control.ClaimRecord{Claim: claim, Revision: 9},
			control.PutAllocator{Allocator: allocator}: control.AllocatorRecord{Allocator: allocator, Revision: 9},
			control.SwapTable{Table: table}:            control.TableRecord{Table: table, Revision: 9},
			control.SwapCatalogue{Catalogue: c}:        control.CatalogueRecord{Catalogue: c, Revision: 9},
			control.SwapGroup{RecordSwap: failover.RecordSwap{Database: "db", Record: record}}: control.GroupRecord{
				Database: "db", Seen: failover.RecordSeen{Exists: true, Record: record, Revision: 9},
			},
		} {
			op, err := codec.operation(operation)
			require.NoError(t, err)
			put := op.(store.PutOp)
			require.Equal(t, want, decodeRecord(store.Record{Key: put.Key, Value: put.Value, Revision: 9}))
		}
	})
}

// Guards against treating a catalogue of a newer release as empty, so that the next
// edit overwrites it, and against two keys that name the same slot.
func TestUnreadableRecordsAreLeftOut(t *testing.T) {
	for _, r := range []store.Record{
		{Key: keyCatalogue, Value: json.RawMessage(`{"version":"v2"}`), Revision: 4},
		{Key: keyTable, Value: json.RawMessage(`{"slots":"v2"}`), Revision: 4},
		{Key: "slot/007", Value: json.RawMessage(`{}`), Revision: 4},
		{Key: "slot/-1", Value: json.RawMessage(`{}`), Revision: 4},
		{Key: "other", Value: json.RawMessage(`{}`), Revision: 4},
	} {
		require.Nil(t, decodeRecord(r), "%s", r.Key)
	}
}

// FuzzPeerRequest guards against a peer message that crashes the instance, is accepted
// without a sender, or carries a negative age of a table or of the last contact with
// the platform.
func FuzzPeerRequest(f *testing.F) {
	f.Add(methodVersions, `{"from":"a","peer_address":"b","domain":"c","versions":{"NewsAge":-1}}`)
	f.Add(methodShareReport, `{"Slot":1}`)
	f.Add(methodDeathReport, `null`)
	f.Fuzz(func(t *testing.T, method, params string) {
		message, remote := decodePeerRequest(method, json.RawMessage(params))
		require.NotEqual(t, message == nil, remote == nil)
		if v, ok := message.(control.Versions); ok {
			require.NotEmpty(t, v.From)
			require.GreaterOrEqual(t, v.Versions.NewsAge, time.Duration(0))
		}
		if response, err := decodeTableMessage(json.RawMessage(params)); err == nil {
			require.GreaterOrEqual(t, response.(control.TableMessage).Age, time.Duration(0))
		}
	})
}

// FuzzRecord guards against a platform record that crashes the instance.
func FuzzRecord(f *testing.F) {
	for _, key := range []string{"catalogue", "shares", "allocator", "group/db", "slot/1"} {
		f.Add(key, `{}`, false)
		f.Add(key, `null`, true)
	}
	f.Fuzz(func(_ *testing.T, key, value string, deleted bool) {
		decodeRecord(store.Record{Key: store.Key(key), Value: json.RawMessage(value), Revision: 1, Deleted: deleted})
	})
}

// FuzzMemberStatus guards against a member status that crashes the instance.
func FuzzMemberStatus(f *testing.F) {
	f.Add(`{"member":"m0","role":"primary","term":1,"term_starts":[[1,0]]}`)
	f.Add(`[]`)
	f.Fuzz(func(t *testing.T, raw string) {
		require.NotNil(t, decodeMemberResult(memberTag{database: "db"}, rpc.Result{Raw: json.RawMessage(raw)}))
	})
}
