package classify

import (
	"container/list"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// maxCachedText is the length in bytes beyond which a text is not cached, so
// that bulk inserts with literal values do not push out the short texts.
const maxCachedText = 8 << 10

type cached struct {
	text    string
	verdict session.Verdict
}

// cache keeps the verdicts of the most recently used texts.
type cache struct {
	limit  int
	byText map[string]*list.Element
	recent *list.List
}

func newCache(limit int) *cache {
	return &cache{limit: max(limit, 1), byText: map[string]*list.Element{}, recent: list.New()}
}

func (c *cache) get(text string) (session.Verdict, bool) {
	element, ok := c.byText[text]
	if !ok {
		return session.Verdict{}, false
	}
	c.recent.MoveToFront(element)
	return element.Value.(*cached).verdict, true
}

func (c *cache) put(text string, v session.Verdict) {
	if len(text) > maxCachedText {
		return
	}
	c.byText[text] = c.recent.PushFront(&cached{text: text, verdict: v})
	if c.recent.Len() <= c.limit {
		return
	}
	oldest := c.recent.Back()
	c.recent.Remove(oldest)
	delete(c.byText, oldest.Value.(*cached).text)
}
