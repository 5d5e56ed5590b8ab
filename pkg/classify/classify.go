// Package classify determines from the SQL texts of a request whether it reads,
// writes or changes session state. It uses PostgreSQL's own parser.
package classify

import (
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// DefaultCacheEntries is the default number of texts in a Classifier's cache.
const DefaultCacheEntries = 4096

// Classifier classifies SQL texts and caches the results. It is not safe for
// concurrent use.
type Classifier struct {
	cache *cache
}

// New returns a Classifier that caches the classifications of up to entries
// texts.
func New(entries int) *Classifier {
	return &Classifier{cache: newCache(entries)}
}

// Classify returns the classification of a request that runs the given texts.
func (c *Classifier) Classify(texts []string) session.Classification {
	merged := session.Classification{Kind: session.KindEmpty, Hints: noHints(), Reason: "no statement"}
	for i, text := range texts {
		class := c.classifyOne(text)
		if i == 0 {
			merged = class
			continue
		}
		merged = mergeClassifications(merged, class)
	}
	return merged
}

// classifyOne returns the classification of one text, from the cache if possible.
func (c *Classifier) classifyOne(text string) session.Classification {
	if class, ok := c.cache.get(text); ok {
		return class
	}
	class := classifyText(text)
	c.cache.put(text, class)
	return class
}
