package callerio

import "github.com/sassafrasshunt/sassafrasshunt/pkg/core"

// sqlStates maps reasons to the SQLSTATEs that callers of the PostgreSQL front end
// receive. Codes of class SH are defined by the proxy and mean that the request
// did not run; other codes are PostgreSQL's. docs/errors.md describes each one.
var sqlStates = map[core.Reason]string{
	core.ReasonUncertain:          "40003",
	core.ReasonRateExceeded:       "SH001",
	core.ReasonDeadline:           "SH002",
	core.ReasonNoPrimary:          "SH003",
	core.ReasonNoMember:           "SH004",
	core.ReasonOverloaded:         "SH005",
	core.ReasonDatabaseLeaving:    "SH006",
	core.ReasonStopping:           "SH007",
	core.ReasonKeyRevoked:         "SH008",
	core.ReasonWrongKey:           "28P01",
	core.ReasonNoEntry:            "3D000",
	core.ReasonProtocolViolation:  "08P01",
	core.ReasonNotSupported:       "0A000",
	core.ReasonReadOnlyEntry:      "25006",
	core.ReasonTransactionAborted: "40000",
	core.ReasonCancelled:          "57014",
	core.ReasonInvalidParameter:   "22023",
	core.ReasonUnknownParameter:   "42704",
	core.ReasonActiveTransaction:  "25001",
}

// SQLState returns the SQLSTATE for a reason, empty for an unknown one.
func SQLState(r core.Reason) string {
	return sqlStates[r]
}
