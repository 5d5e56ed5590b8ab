package share

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/tokens"
)

// holderBucket is the token bucket of one account at one holder, used in the same
// way as by the session duty.
type holderBucket struct {
	bucket tokens.Bucket
	grant  uint64
	until  time.Time
}

// set changes the share from now on.
func (b *holderBucket) set(share Rate, grant uint64, until, now time.Time) {
	b.bucket.PrepareShareChange(grant != b.grant, now, b.until)
	b.bucket.Limit(share.Rate.Float(), share.Burst.Float())
	b.grant, b.until = grant, until
}

func (b *holderBucket) take(now time.Time) bool {
	return b.bucket.Take(now, b.until)
}
