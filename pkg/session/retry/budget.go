// Package retry limits how many requests are repeated.
package retry

// Budget limits retries to a fraction of the requests. It is not safe for concurrent use.
type Budget struct {
	fraction float64
	limit    float64
	balance  float64
}

// NewBudget returns an empty budget: each request credits the fraction of a retry, up to
// limit retries.
func NewBudget(fraction, limit float64) Budget {
	return Budget{fraction: fraction, limit: limit}
}

// Deposit credits one request.
func (b *Budget) Deposit() {
	b.balance = min(b.balance+b.fraction, b.limit)
}

// Available reports whether the budget allows another retry.
func (b *Budget) Available() bool {
	return b.balance >= 1
}

// Withdraw charges one retry.
func (b *Budget) Withdraw() {
	b.balance--
}
