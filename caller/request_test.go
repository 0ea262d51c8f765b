package caller

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against requests that the host and the endpoint could interpret differently.
func TestParseCompletion(t *testing.T) {
	tests := map[string]struct {
		body    string
		refused bool
		limit   int64
	}{
		"chat":                   {`{"model": "m", "messages": [], "max_tokens": 7}`, false, 7},
		"prompt":                 {`{"model": "m", "prompt": "x"}`, false, 0},
		"max_completion_tokens":  {`{"model": "m", "prompt": "x", "max_completion_tokens": 9}`, false, 9},
		"no model":               {`{"prompt": "x"}`, true, 0},
		"no prompt":              {`{"model": "m"}`, true, 0},
		"negative limit":         {`{"model": "m", "prompt": "x", "max_tokens": -1}`, true, 0},
		"fraction":               {`{"model": "m", "prompt": "x", "max_tokens": 1.5}`, true, 0},
		"two choices":            {`{"model": "m", "prompt": "x", "n": 2}`, true, 0},
		"array":                  {`[]`, true, 0},
		"truncated":              {`{"model": "m"`, true, 0},
		"other case":             {`{"model": "m", "prompt": "x", "MAX_TOKENS": 9}`, true, 0},
		"letter that folds to s": {`{"model": "m", "prompt": "x", "max_token\u017f": 9}`, true, 0},
		"stream as string":       {`{"model": "m", "prompt": "x", "stream": "yes"}`, true, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			parsed, refused := parseCompletion([]byte(test.body))
			c.Assert(refused != nil, qt.Equals, test.refused)
			if refused == nil {
				c.Assert(parsed.maxTokens, qt.Equals, test.limit)
			}
		})
	}
}

// Guards against a token limit or a model that the endpoint reads differently from the host, because a field name is in another case
// or a field is given twice.
func FuzzParseCompletion(f *testing.F) {
	f.Add([]byte(`{"model": "m", "prompt": "x", "max_tokens": 3}`))
	f.Add([]byte(`{"model": "m", "prompt": "x", "MAX_TOKENS": 3000}`))
	f.Add([]byte(`{"model": "m", "prompt": "x", "max_tokens": 3, "max_tokens": 4000}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		parsed, refused := parseCompletion(body)
		if refused != nil {
			return
		}
		out, err := parsed.bodyFor("inner", "", 5)
		if err != nil {
			t.Fatal(err)
		}
		var seen struct {
			Model string `json:"model"`
			Limit int64  `json:"max_tokens"`
			Newer *int64 `json:"max_completion_tokens"`
		}
		if err := json.Unmarshal(out, &seen); err != nil {
			t.Fatal(err)
		}
		if seen.Model != "inner" || seen.Limit != 5 || seen.Newer != nil {
			t.Fatalf("the endpoint reads %+v instead of model inner and 5 tokens", seen)
		}
	})
}
