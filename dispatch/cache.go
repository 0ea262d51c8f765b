package dispatch

import (
	"container/list"
	"time"

	"magnoliahoist/intake"
)

// maxCachedTokens bounds the prompt tokens that this host assumes to be in an engine's prefix cache. It is less than an engine
// can cache, because requests of other hosts evict entries too.
const maxCachedTokens = 60_000

// maxCachedPrefixes bounds the memory of the estimate for one engine: callers may make up parts of few tokens, or of none.
const maxCachedPrefixes = 2048

// promptCache is the host's estimate of an engine's prefix cache, made from the host's own requests. It evicts the least
// recently used prefixes.
type promptCache struct {
	byKey  map[uint64]*list.Element
	recent *list.List // of *cachedPrefix, most recently used first
	tokens int64
}

// cachedPrefix is a prefix that was sent to the engine.
type cachedPrefix struct {
	promptPrefix
	usedAt time.Duration
}

// promptPrefix is a prefix of a prompt that ends with one of its parts.
type promptPrefix struct {
	key    uint64 // hash of the model, the adapter and all parts of the prefix
	tokens int64  // of the last part only
}

func newPromptCache() *promptCache {
	return &promptCache{byKey: map[uint64]*list.Element{}, recent: list.New()}
}

// prefixesOf returns the prefixes of a prompt, shortest first.
func prefixesOf(g intake.Generation) []promptPrefix {
	key := hashString(g.Model + "/" + g.Adapter)
	prefixes := make([]promptPrefix, len(g.PromptParts))
	for i, p := range g.PromptParts {
		key = mixBits(key ^ p.ID)
		prefixes[i] = promptPrefix{key, p.Tokens}
	}
	return prefixes
}

// cachedTokens returns the number of tokens at the beginning of a prompt that are assumed to be in the engine's prefix cache: those
// of the parts that were used at most maxAge ago.
func (c *promptCache) cachedTokens(now time.Duration, prefixes []promptPrefix, maxAge time.Duration) int64 {
	sum := int64(0)
	for _, p := range prefixes {
		e := c.byKey[p.key]
		if e == nil || now-e.Value.(*cachedPrefix).usedAt > maxAge {
			break
		}
		sum += p.tokens
	}
	return sum
}

// add records a prompt that was sent to the engine.
func (c *promptCache) add(now time.Duration, prefixes []promptPrefix) {
	for i := len(prefixes) - 1; i >= 0; i-- { // the shortest prefix becomes the most recent one, so that it is evicted last
		p := prefixes[i]
		if e := c.byKey[p.key]; e != nil {
			e.Value.(*cachedPrefix).usedAt = now
			c.recent.MoveToFront(e)
			continue
		}
		c.byKey[p.key] = c.recent.PushFront(&cachedPrefix{p, now})
		c.tokens += p.tokens
	}
	for c.tokens > maxCachedTokens || c.recent.Len() > maxCachedPrefixes {
		last := c.recent.Back()
		p := c.recent.Remove(last).(*cachedPrefix)
		delete(c.byKey, p.key)
		c.tokens -= p.tokens
	}
}
