package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestPromptCacheBounds guards against callers that fill the memory of hosts with prompt parts of their own making, and against an
// eviction that loses the tokens of ordinary prompts.
func TestPromptCacheBounds(t *testing.T) {
	for name, test := range map[string]struct {
		tokens  int64 // of each part
		parts   int   // of each prompt
		prompts int
		held    int // of the prefixes
	}{
		"ordinary parts":                           {600, 10, 10, 100},
		"as many tokens as are held":               {600, 10, 100, 100},
		"parts of one token":                       {1, 100, 1000, maxCachedPrefixes},
		"parts without tokens":                     {0, 100, 1000, maxCachedPrefixes},
		"one prompt with more parts than are held": {0, 3 * maxCachedPrefixes, 1, maxCachedPrefixes},
	} {
		t.Run(name, func(t *testing.T) {
			cache, key := newPromptCache(), uint64(0)
			for range test.prompts {
				prefixes := make([]promptPrefix, test.parts)
				for n := range prefixes {
					key++
					prefixes[n] = promptPrefix{key, test.tokens}
				}
				cache.add(time.Second, prefixes)
				qt.Assert(t, cache.cachedTokens(time.Second, prefixes, time.Minute), qt.Equals, test.tokens*int64(test.parts))
			}
			qt.Check(t, cache.recent.Len(), qt.Equals, test.held)
			qt.Check(t, len(cache.byKey), qt.Equals, test.held)
			qt.Check(t, cache.tokens, qt.Equals, test.tokens*int64(test.held))
		})
	}
}
