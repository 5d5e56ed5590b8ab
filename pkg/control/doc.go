// Package control decides what instances share: group primaries, shares of
// rates and connections, the catalogue in force, the lease of this instance
// and the versions exchanged with peers. It runs on the control duty and joins
// the decision packages failover, share, catalogue and membership.
//
// Its inputs and outputs are typed; the encoding of platform records and peer
// messages is done by the instance package.
package control
