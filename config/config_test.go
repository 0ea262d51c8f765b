package config_test

import (
	"errors"
	"flag"
	"os"
	"reflect"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/config"
	"magnoliahoist/document"
)

var update = flag.Bool("update", false, "write docs/configuration.md")

const minimalHost = `{"domain": "fukuoka", "platform": {"table": "127.0.0.1:7001", "objects": "127.0.0.1:7002", "hosts": "127.0.0.1:7003"}`

// Guards against accepting wrong settings, against problems that name the wrong field, and against secrets in problems.
func TestParse(t *testing.T) {
	tests := map[string]struct{ more, want string }{
		"minimal":                     {``, ""},
		"operators not on loopback":   {`, "listen": {"operators": "10.0.0.1:8081"}`, `credential: "" is not allowed: a credential`},
		"operators on all interfaces": {`, "listen": {"operators": "0.0.0.0:8081"}`, `credential: ""`},
		"peers not on loopback":       {`, "listen": {"peers": "10.0.0.1:8082"}`, `secret: "" is not allowed: a secret`},
		"peers not on loopback, TLS":  {`, "listen": {"peers": "10.0.0.1:8082"}, "tls": {"peers": {"cert": "c", "key": "k", "ca": "a"}}`, ""},
		"peers unspecified":           {`, "listen": {"peers": "0.0.0.0:8082"}, "secret": "0123456789abcdef"`, `listen.peers: "0.0.0.0:8082"`},
		"short secret":                {`, "secret": "hush"`, `secret: "(hidden)"`},
		"secret as number":            {`, "secret": 8675309`, `secret: (hidden) is not allowed: a string`},
		"TLS without key":             {`, "tls": {"callers": {"cert": "c"}}`, `tls.callers.key: ""`},
		"TLS without CA":              {`, "tls": {"peers": {"cert": "c", "key": "k"}}`, `tls.peers.ca: ""`},
		"same address":                {`, "listen": {"callers": "127.0.0.1:8081"}`, `listen.operators: "127.0.0.1:8081"`},
		"window":                      {`, "window": "1s"`, `window: 1s is not allowed: 500ms to 5s, at least twice poll`},
		"poll too long":               {`, "poll": "9223372036854775807ns"`, `window: 3s`},
		"log level":                   {`, "log": {"level": "loud"}`, `log.level: "loud"`},
		"unknown nested field":        {`, "limits": {"boddy": 1}`, `limits.boddy: the unknown field "boddy"`},
		"overcommit":                  {`, "overcommit": 0.5`, `overcommit: 0.5`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			_, err := config.Parse([]byte(minimalHost + test.more + "}"))
			if test.want == "" {
				c.Assert(err, qt.IsNil)
				return
			}
			var problems document.Problems
			c.Assert(errors.As(err, &problems), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(err.Error(), qt.Contains, test.want)
			c.Assert(err.Error(), qt.Not(qt.Contains), "hush")
			c.Assert(err.Error(), qt.Not(qt.Contains), "8675309")
		})
	}
}

// Guards against secrets in dumps and against dumps that lose settings.
func TestDump(t *testing.T) {
	c := qt.New(t)
	h, err := config.Parse([]byte(minimalHost + `, "secret": "0123456789abcdef", "credential": "fedcba9876543210"}`))
	c.Assert(err, qt.IsNil)
	data, err := h.Dump()
	c.Assert(err, qt.IsNil)
	c.Assert(string(data), qt.Not(qt.Contains), "0123456789abcdef")
	c.Assert(string(data), qt.Not(qt.Contains), "fedcba9876543210")
	again, err := config.Parse([]byte(strings.ReplaceAll(string(data), "********", "****************")))
	c.Assert(err, qt.IsNil)
	again.Secret, again.Credential = h.Secret, h.Credential
	c.Assert(again, qt.DeepEquals, h)
}

// Guards against settings without a description, and against descriptions of settings that don't exist.
func TestDescribe(t *testing.T) {
	var described []string
	for _, field := range config.Describe() {
		described = append(described, field.Path)
	}
	qt.Assert(t, described, qt.ContentEquals, jsonPaths("", reflect.TypeFor[config.Host]()))
}

// jsonPaths returns the paths of all fields of a struct type by their JSON names.
func jsonPaths(prefix string, structType reflect.Type) []string {
	var list []string
	for n := range structType.NumField() {
		path := prefix + structType.Field(n).Tag.Get("json")
		if structType.Field(n).Type.Kind() == reflect.Struct {
			list = append(list, jsonPaths(path+".", structType.Field(n).Type)...)
			continue
		}
		list = append(list, path)
	}
	return list
}

// Guards against a page that differs from the descriptions of the settings. The flag -update writes the page.
func TestPage(t *testing.T) {
	const page = "../docs/configuration.md"
	if *update {
		qt.Assert(t, os.WriteFile(page, []byte(config.Markdown()), 0o644), qt.IsNil)
	}
	data, err := os.ReadFile(page)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(data), qt.Equals, config.Markdown())
}

// Guards against panics, and against accepting settings that Validate refuses.
func FuzzParse(f *testing.F) {
	f.Add([]byte(minimalHost + "}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if h, err := config.Parse(data); err == nil {
			qt.Assert(t, h.Validate(), qt.IsNil)
		}
	})
}
