package document_test

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/document"
)

type inner struct {
	Wait  document.Duration `json:"wait,omitempty"`
	Count int64             `json:"count"`
}

type outer struct {
	List []inner  `json:"list"`
	Rate float64  `json:"rate"`
	Open bool     `json:"open"`
	Name string   `json:"name"`
	Tags []string `json:"tags"`
}

// Guards against problems without a path, against reporting only the first problem, and against changing the target.
func TestDecodeProblems(t *testing.T) {
	tests := map[string]struct {
		data string
		want []string
	}{
		"unknown field":    {`{"list": [{}, {"coutn": 1}]}`, []string{`list[1].coutn: the unknown field "coutn" is not allowed: one of count, wait`}},
		"other case":       {`{"Name": "x"}`, []string{`Name: the unknown field "Name" is not allowed: one of list, name, open, rate, tags`}},
		"wrong type":       {`{"list": [{"count": "1"}]}`, []string{`list[0].count: "1" is not allowed: a whole number`}},
		"fraction":         {`{"list": [{"count": 1.5}]}`, []string{`list[0].count: 1.5 is not allowed: a whole number`}},
		"number too large": {`{"rate": 1e999}`, []string{`rate: 1e999 is not allowed: a number`}},
		"null":             {`{"name": null}`, []string{`name: null is not allowed: a string`}},
		"duration":         {`{"list": [{"wait": "2x"}]}`, []string{`list[0].wait: "2x" is not allowed: a duration such as "250ms" or "2s"`}},
		"duplicate":        {`{"name": "a", "list": [], "name": "b"}`, []string{`name: a second field of this name is not allowed: each field once`}},
		"object for array": {`{"tags": {"a": 1}}`, []string{`tags: an object is not allowed: an array`}},
		"array for object": {`[1]`, []string{`document: an array is not allowed: an object`}},
		"several": {`{"open": 1, "tags": [2], "more": {}}`, []string{
			`open: 1 is not allowed: true or false`, `tags[0]: 2 is not allowed: a string`,
			`more: the unknown field "more" is not allowed: one of list, name, open, rate, tags`}},
		"malformed": {"{\n  \"name\": oops}", []string{"line 2 column 11: malformed JSON (invalid character 'o' looking for beginning of value) is not allowed: a JSON value"}},
		"cut off":   {"{\"name\": ", []string{"line 1 column 10: the end of the data is not allowed: a complete JSON value"}},
		"empty":     {"", []string{"line 1 column 1: the end of the data is not allowed: a complete JSON value"}},
		"trailing":  {"{}\n {}", []string{"line 2 column 2: data after the document is not allowed: one JSON value"}},
		"not UTF-8": {"{\"name\": \"\xff\"}", []string{"line 1 column 11: a byte that is not UTF-8 is not allowed: JSON in UTF-8"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			got := outer{Name: "before"}
			err := document.Decode([]byte(test.data), &got)
			var problems document.Problems
			c.Assert(errors.As(err, &problems), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(strings.Split(err.Error(), "\n"), qt.DeepEquals, test.want)
			c.Assert(got, qt.DeepEquals, outer{Name: "before"})
		})
	}
}

// Guards against accepting data that encoding/json refuses, and against decoding it to other values.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{`{}`, `{"list": [{"wait": "2s", "count": 3}], "rate": 1.5}`, `{"name": "a", "name": "b"}`, `[`, `{"tags": [null]}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c := qt.New(t)
		var got, want outer
		if document.Decode(data, &got) != nil {
			return
		}
		c.Assert(json.Unmarshal(data, &want), qt.IsNil)
		c.Assert(got, qt.DeepEquals, want)
	})
}
