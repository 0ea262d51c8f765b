package dispatch

import (
	"container/list"

	"magnoliahoist/intake"
)

// cacheTokens bounds the prompt tokens that a host believes to be kept by an endpoint. It is below the memory of
// the engines, because other hosts' requests evict too.
const cacheTokens = 60_000

// cache is the host's estimate of the prompt parts that an engine keeps, from its own requests.
type cache struct {
	byKey  map[uint64]*list.Element
	recent *list.List // most recent first
	tokens int64
}

// piece is a part with all parts before it.
type piece struct {
	key    uint64
	tokens int64
}

func newCache() *cache { return &cache{byKey: map[uint64]*list.Element{}, recent: list.New()} }

// chain returns the key of each part together with the model and the parts before it.
func chain(g intake.Generation) []piece {
	key := hashText(g.Model + "/" + g.Adapter)
	pieces := make([]piece, len(g.Parts))
	for i, p := range g.Parts {
		key = mix(key ^ p.ID)
		pieces[i] = piece{key, p.Tokens}
	}
	return pieces
}

// kept returns the tokens at the beginning of a prompt that the engine is believed to keep.
func (c *cache) kept(pieces []piece) int64 {
	sum := int64(0)
	for _, p := range pieces {
		if c.byKey[p.key] == nil {
			break
		}
		sum += p.tokens
	}
	return sum
}

// add records a prompt that the engine reads.
func (c *cache) add(pieces []piece) {
	for i := len(pieces) - 1; i >= 0; i-- { // the first parts are the most recent, so that they are evicted last
		p := pieces[i]
		if e := c.byKey[p.key]; e != nil {
			c.recent.MoveToFront(e)
			continue
		}
		c.byKey[p.key] = c.recent.PushFront(p)
		c.tokens += p.tokens
	}
	for c.tokens > cacheTokens {
		last := c.recent.Back()
		p := c.recent.Remove(last).(piece)
		delete(c.byKey, p.key)
		c.tokens -= p.tokens
	}
}
