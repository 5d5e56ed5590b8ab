// Package classify decides what a request does from its SQL texts, with the
// parser of PostgreSQL itself.
package classify

import (
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// DefaultCacheEntries is the number of texts whose verdict is kept.
const DefaultCacheEntries = 4096

// Classifier classifies texts and remembers recent verdicts. It is not safe
// for concurrent use.
type Classifier struct {
	cache *cache
}

// New returns a Classifier that keeps the verdicts of up to entries texts.
func New(entries int) *Classifier {
	return &Classifier{cache: newCache(entries)}
}

// Classify returns the verdict on a request that runs the given texts.
func (c *Classifier) Classify(texts []string) session.Verdict {
	merged := session.Verdict{Kind: session.KindEmpty, Hints: noHints(), Reason: "no statement"}
	for i, text := range texts {
		v := c.one(text)
		if i == 0 {
			merged = v
			continue
		}
		merged = merge(merged, v)
	}
	return merged
}

func (c *Classifier) one(text string) session.Verdict {
	if v, ok := c.cache.get(text); ok {
		return v
	}
	v := classifyText(text)
	c.cache.put(text, v)
	return v
}
