package share

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// tableDocument is the JSON form of a Table. Each name occurs once and the shares
// refer to it by index, because a table of 930 slots must fit into one value of 1
// MB.
type tableDocument struct {
	Revision         uint64              `json:"revision"`
	CatalogueVersion uint64              `json:"catalogue_version"`
	Accounts         []core.AccountName  `json:"accounts"`
	Databases        []core.DatabaseName `json:"databases"`
	Floors           floorsDocument      `json:"floors"`
	// RetainedFloors is omitted if it equals the floors.
	RetainedFloors        *floorsDocument `json:"guards,omitempty"`
	FloorsLowered         uint64          `json:"floors_lowered,omitempty"`
	RetainedFloorsLowered uint64          `json:"guards_lowered,omitempty"`
	Slots                 []slotDocument  `json:"slots"`
}

// floorsDocument is the JSON form of Floors.
type floorsDocument struct {
	// Rates holds [rate, burst] of each account.
	Rates       map[core.AccountName][2]Milli `json:"rates"`
	Connections map[core.DatabaseName]int     `json:"connections"`
}

func encodeFloors(f Floors) floorsDocument {
	d := floorsDocument{Rates: map[core.AccountName][2]Milli{}, Connections: f.Connections}
	for name, r := range f.Rates {
		d.Rates[name] = [2]Milli{r.Rate, r.Burst}
	}
	return d
}

// decodeFloors reports false for a negative figure.
func decodeFloors(d floorsDocument) (Floors, bool) {
	f := Floors{Rates: map[core.AccountName]Rate{}, Connections: d.Connections}
	for name, r := range d.Rates {
		if r[0] < 0 || r[1] < 0 {
			return f, false
		}
		f.Rates[name] = Rate{Rate: r[0], Burst: r[1]}
	}
	for _, n := range d.Connections {
		if n < 0 {
			return f, false
		}
	}
	return f, true
}

// slotDocument is the JSON form of a Slot.
type slotDocument struct {
	State              string          `json:"state"`
	Instance           core.InstanceID `json:"instance,omitempty"`
	PeerAddress        string          `json:"peer_address,omitempty"`
	Domain             core.Domain     `json:"domain,omitempty"`
	Lease              LeaseID         `json:"lease,omitempty"`
	GrantRevision      uint64          `json:"granted,omitempty"`
	RatesLowered       uint64          `json:"rates_lowered,omitempty"`
	ConnectionsLowered uint64          `json:"connections_lowered,omitempty"`
	// Rates holds [account, held rate, held burst] and, if the limits differ from
	// what is held, also limit rate and limit burst.
	Rates [][]int64 `json:"rates,omitempty"`
	// Connections holds [held, limit, database, database, ...]. Databases with
	// the same figures share one array, because most databases of a slot have the
	// same small figures.
	Connections [][]int64 `json:"connections,omitempty"`
}

// Numbers of elements in the arrays of a slotDocument, without and with limits,
// and the largest valid figure.
const (
	rateFields                  = 3
	rateLimitFields             = 5
	connectionFields            = 2
	connectionLimitFields       = 3
	largestShare          int64 = 1 << 53
)

// Encode returns the JSON form of the table. Equal tables have equal forms.
func (t *Table) Encode() ([]byte, error) {
	d := tableDocument{
		Revision:         t.Revision,
		CatalogueVersion: t.CatalogueVersion,
		Accounts:         sortedNames(t, func(s *Slot) map[core.AccountName]RateShare { return s.Accounts }),
		Databases:        sortedNames(t, func(s *Slot) map[core.DatabaseName]ConnectionShare { return s.Databases }),
		Slots:            make([]slotDocument, len(t.Slots)),
	}
	d.Floors = encodeFloors(t.Floors)
	d.FloorsLowered, d.RetainedFloorsLowered = t.FloorsLowered, t.RetainedFloorsLowered
	if !t.RetainedFloors.equal(t.Floors) {
		retained := encodeFloors(t.RetainedFloors)
		d.RetainedFloors = &retained
	}
	for i := range t.Slots {
		d.Slots[i] = encodeSlot(&t.Slots[i], d.Accounts, d.Databases)
	}
	return json.Marshal(&d)
}

// sortedNames returns the names of all shares in the table.
func sortedNames[K ~string, V any](t *Table, shares func(*Slot) map[K]V) []K {
	names := addNames([]K{}, t, shares)
	slices.Sort(names)
	return names
}

// addNames appends the names of the table's shares that names does not contain
// yet.
func addNames[K ~string, V any](names []K, t *Table, shares func(*Slot) map[K]V) []K {
	seen := make(map[K]bool, len(names))
	for _, name := range names {
		seen[name] = true
	}
	for i := range t.Slots {
		for name := range shares(&t.Slots[i]) {
			if !seen[name] {
				seen[name] = true
				names = append(names, name)
			}
		}
	}
	return names
}

func encodeSlot(s *Slot, accounts []core.AccountName, databases []core.DatabaseName) slotDocument {
	d := slotDocument{
		State:              s.State,
		Instance:           s.Instance,
		PeerAddress:        s.PeerAddress,
		Domain:             s.Domain,
		Lease:              s.Lease,
		GrantRevision:      s.GrantRevision,
		RatesLowered:       s.RatesLowered,
		ConnectionsLowered: s.ConnectionsLowered,
	}
	for i, name := range accounts {
		if share, ok := s.Accounts[name]; ok {
			d.Rates = append(d.Rates, encodeRate(i, share))
		}
	}
	d.Connections = encodeConnections(s.Databases, databases)
	return d
}

func encodeRate(index int, r RateShare) []int64 {
	fields := []int64{int64(index), int64(r.Held.Rate), int64(r.Held.Burst)}
	if r.Limit != r.Held {
		fields = append(fields, int64(r.Limit.Rate), int64(r.Limit.Burst))
	}
	return fields
}

// encodeConnections groups the databases of a slot by their shares.
func encodeConnections(shares map[core.DatabaseName]ConnectionShare, names []core.DatabaseName) [][]int64 {
	groups := map[ConnectionShare]int{}
	var encoded [][]int64
	for i, name := range names {
		share, ok := shares[name]
		if !ok {
			continue
		}
		group, ok := groups[share]
		if !ok {
			group = len(encoded)
			groups[share] = group
			encoded = append(encoded, []int64{int64(share.Held), int64(share.Limit)})
		}
		encoded[group] = append(encoded[group], int64(i))
	}
	return encoded
}

// DecodeTable parses the JSON form of a table. It returns a *TableError if the
// text is not valid JSON or describes an invalid table.
func DecodeTable(text []byte) (*Table, error) {
	var d tableDocument
	if err := json.Unmarshal(text, &d); err != nil {
		return nil, &TableError{Violations: []string{err.Error()}}
	}
	t := &Table{Revision: d.Revision, CatalogueVersion: d.CatalogueVersion, Slots: make([]Slot, len(d.Slots))}
	violations := t.setDecodedFloors(&d)
	for i := range d.Slots {
		slot, slotViolations := decodeSlot(&d.Slots[i], &d)
		t.Slots[i] = slot
		for _, violation := range slotViolations {
			violations = append(violations, fmt.Sprintf("slot %d: %s", i, violation))
		}
	}
	if len(violations) > 0 {
		return nil, &TableError{Violations: violations}
	}
	return t, nil
}

// setDecodedFloors sets the floors and the retained floors. It returns the
// violations found.
func (t *Table) setDecodedFloors(d *tableDocument) []string {
	floors, valid := decodeFloors(d.Floors)
	t.Floors, t.RetainedFloors = floors, floors
	t.FloorsLowered, t.RetainedFloorsLowered = d.FloorsLowered, d.RetainedFloorsLowered
	if d.RetainedFloors != nil {
		retained, retainedValid := decodeFloors(*d.RetainedFloors)
		t.RetainedFloors = retained
		valid = valid && retainedValid
	}
	if !valid {
		return []string{"negative floor"}
	}
	return nil
}

// decodeSlot returns the slot and the violations found in it.
func decodeSlot(d *slotDocument, t *tableDocument) (Slot, []string) {
	s := Slot{
		State:              d.State,
		Instance:           d.Instance,
		PeerAddress:        d.PeerAddress,
		Domain:             d.Domain,
		Lease:              d.Lease,
		GrantRevision:      d.GrantRevision,
		RatesLowered:       d.RatesLowered,
		ConnectionsLowered: d.ConnectionsLowered,
	}
	var violations []string
	if !slices.Contains(stateNames, d.State) {
		violations = append(violations, fmt.Sprintf("unknown state %q", d.State))
	}
	for _, fields := range d.Rates {
		if !validRate(fields, len(t.Accounts)) {
			violations = append(violations, "invalid rate share")
			continue
		}
		s.setRate(t.Accounts[fields[0]], decodeRate(fields))
	}
	for _, fields := range d.Connections {
		if !s.addConnections(fields, t.Databases) {
			violations = append(violations, "invalid connection share")
		}
	}
	return s, violations
}

// stateNames lists the states of the chart "share".
var stateNames = []string{StateVacant, "granted", "shrinking", StateLost}

// validRate checks the length, the index and the range of the figures, and that
// no limit exceeds what is held.
func validRate(fields []int64, names int) bool {
	if len(fields) != rateFields && len(fields) != rateLimitFields || !inRange(fields) {
		return false
	}
	if fields[0] >= int64(names) {
		return false
	}
	return len(fields) == rateFields || fields[3] <= fields[1] && fields[4] <= fields[2]
}

// inRange reports whether every figure is between 0 and largestShare.
func inRange(fields []int64) bool {
	for _, f := range fields {
		if f < 0 || f > largestShare {
			return false
		}
	}
	return true
}

// addConnections stores the connection shares of one array. It reports false for
// an invalid array.
func (s *Slot) addConnections(fields []int64, names []core.DatabaseName) bool {
	if len(fields) <= connectionFields || !inRange(fields) || fields[1] > fields[0] {
		return false
	}
	share := ConnectionShare{Held: int(fields[0]), Limit: int(fields[1])}
	for _, index := range fields[connectionFields:] {
		if index >= int64(len(names)) {
			return false
		}
		s.setConnections(names[index], share)
	}
	return true
}

func decodeRate(fields []int64) RateShare {
	held := Rate{Rate: Milli(fields[1]), Burst: Milli(fields[2])}
	r := RateShare{Held: held, Limit: held}
	if len(fields) == rateLimitFields {
		r.Limit = Rate{Rate: Milli(fields[3]), Burst: Milli(fields[4])}
	}
	return r
}

func (s *Slot) setRate(name core.AccountName, r RateShare) {
	if s.Accounts == nil {
		s.Accounts = map[core.AccountName]RateShare{}
	}
	s.Accounts[name] = r
}

func (s *Slot) setConnections(name core.DatabaseName, c ConnectionShare) {
	if s.Databases == nil {
		s.Databases = map[core.DatabaseName]ConnectionShare{}
	}
	s.Databases[name] = c
}
