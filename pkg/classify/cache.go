package classify

import (
	"container/list"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// maxCachedText is the length in bytes of the longest cached text. Longer texts,
// such as bulk inserts with literal values, would evict the short ones.
const maxCachedText = 8 << 10

// cacheItem is an element of the cache's list.
type cacheItem struct {
	text           string
	classification session.Classification
}

// cache is an LRU cache of the classifications of texts.
type cache struct {
	limit  int
	byText map[string]*list.Element
	// recent has the items in order of use, the most recent one first.
	recent *list.List
}

func newCache(limit int) *cache {
	return &cache{limit: max(limit, 1), byText: map[string]*list.Element{}, recent: list.New()}
}

func (c *cache) get(text string) (session.Classification, bool) {
	element, ok := c.byText[text]
	if !ok {
		return session.Classification{}, false
	}
	c.recent.MoveToFront(element)
	return element.Value.(*cacheItem).classification, true
}

func (c *cache) put(text string, classification session.Classification) {
	if len(text) > maxCachedText {
		return
	}
	c.byText[text] = c.recent.PushFront(&cacheItem{text: text, classification: classification})
	if c.recent.Len() <= c.limit {
		return
	}
	oldest := c.recent.Back()
	c.recent.Remove(oldest)
	delete(c.byText, oldest.Value.(*cacheItem).text)
}
