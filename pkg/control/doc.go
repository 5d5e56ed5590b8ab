// Package control makes the decisions that instances coordinate: group primaries,
// shares of rates and connections, the current catalogue, the lease of this
// instance and the versions exchanged with peers. It runs on the control duty and
// connects the decision packages failover, share, catalogue and membership.
//
// Its inputs and outputs are typed. The instance package encodes platform records
// and peer messages.
package control
