package document

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// Allower is implemented by field types that can say which values they accept.
type Allower interface{ Allowed() string }

// Hider is implemented by field types whose values must not appear in problems.
type Hider interface{ Hidden() }

// maxShown is the number of bytes of a value that a problem shows.
const maxShown = 80

var (
	unmarshaler     = reflect.TypeFor[json.Unmarshaler]()
	textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// inspector compares a well-formed document with the type that it is read into.
type inspector struct {
	decoder  *json.Decoder
	problems Problems
}

func inspect(data []byte, target any) Problems {
	i := &inspector{decoder: json.NewDecoder(bytes.NewReader(data))}
	i.decoder.UseNumber()
	i.value("", reflect.TypeOf(target).Elem())
	return i.problems
}

// value reads the next value; a nil type accepts anything.
func (i *inspector) value(path string, want reflect.Type) {
	for want != nil && want.Kind() == reflect.Pointer {
		want = want.Elem()
	}
	if want != nil && (reflect.PointerTo(want).Implements(unmarshaler) || reflect.PointerTo(want).Implements(textUnmarshaler)) {
		i.custom(path, want)
		return
	}
	token, err := i.decoder.Token()
	if err != nil {
		i.add(path, want, "unreadable value", "a JSON value")
		return
	}
	switch token {
	case json.Delim('{'):
		i.object(path, want)
	case json.Delim('['):
		i.array(path, want)
	default:
		i.scalar(path, want, token)
	}
}

func (i *inspector) custom(path string, want reflect.Type) {
	var raw json.RawMessage
	if err := i.decoder.Decode(&raw); err != nil {
		i.add(path, want, "unreadable value", "a JSON value")
		return
	}
	target := reflect.New(want)
	err := json.Unmarshal(raw, target.Interface())
	if err == nil && string(raw) != "null" {
		return
	}
	allowed := "a value that is not null"
	if err != nil {
		allowed = err.Error()
	}
	if allower, ok := target.Interface().(Allower); ok {
		allowed = allower.Allowed()
	}
	i.add(path, want, string(raw), allowed)
}

func (i *inspector) object(path string, want reflect.Type) {
	fields, element := map[string]reflect.Type(nil), reflect.Type(nil)
	switch {
	case want == nil || want.Kind() == reflect.Interface:
	case want.Kind() == reflect.Struct:
		fields = fieldsOf(want)
	case want.Kind() == reflect.Map:
		element = want.Elem()
	default:
		i.add(path, want, "an object", expected(want))
	}
	seen := map[string]bool{}
	for i.decoder.More() {
		token, err := i.decoder.Token()
		if err != nil {
			return
		}
		name, _ := token.(string)
		at := join(path, name)
		if seen[name] {
			i.add(at, nil, "a second field of this name", "each field once")
		}
		seen[name] = true
		inner := element
		if fields != nil {
			known := false
			if inner, known = fields[name]; !known {
				i.add(at, nil, fmt.Sprintf("the unknown field %q", name), "one of "+names(fields))
			}
		}
		i.value(at, inner)
	}
	i.decoder.Token() // the closing brace
}

func (i *inspector) array(path string, want reflect.Type) {
	var element reflect.Type
	switch {
	case want == nil || want.Kind() == reflect.Interface:
	case want.Kind() == reflect.Slice:
		element = want.Elem()
	default:
		i.add(path, want, "an array", expected(want))
	}
	for n := 0; i.decoder.More(); n++ {
		i.value(fmt.Sprintf("%s[%d]", path, n), element)
	}
	i.decoder.Token() // the closing bracket
}

func (i *inspector) scalar(path string, want reflect.Type, token json.Token) {
	if want == nil || want.Kind() == reflect.Interface || fits(want.Kind(), token) {
		return
	}
	shown := fmt.Sprint(token)
	if text, ok := token.(string); ok {
		shown = strconv.Quote(text)
	}
	if token == nil {
		shown = "null"
	}
	i.add(path, want, shown, expected(want))
}

func (i *inspector) add(path string, want reflect.Type, value, allowed string) {
	if want != nil && reflect.PointerTo(want).Implements(reflect.TypeFor[Hider]()) {
		value = "(hidden)"
	}
	i.problems = append(i.problems, Problem{Path: path, Value: shorten(value), Allowed: allowed})
}

func fits(kind reflect.Kind, token json.Token) bool {
	switch value := token.(type) {
	case string:
		return kind == reflect.String
	case bool:
		return kind == reflect.Bool
	case json.Number:
		var err error
		switch kind {
		case reflect.Int, reflect.Int64:
			_, err = strconv.ParseInt(string(value), 10, 64)
		case reflect.Uint, reflect.Uint64:
			_, err = strconv.ParseUint(string(value), 10, 64)
		case reflect.Float64:
			_, err = strconv.ParseFloat(string(value), 64)
		default:
			return false
		}
		return err == nil
	}
	return false
}

func expected(want reflect.Type) string {
	switch want.Kind() {
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Slice:
		return "an array"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Uint, reflect.Uint64:
		return "a whole number, 0 or more"
	case reflect.Float64:
		return "a number"
	}
	return "a value of type " + want.String()
}

// fieldsOf returns the fields of a struct by their JSON names. Embedded structs are not
// supported; no document type has any.
func fieldsOf(want reflect.Type) map[string]reflect.Type {
	fields := map[string]reflect.Type{}
	for n := range want.NumField() {
		field := want.Field(n)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if name == "-" || !field.IsExported() {
			continue
		}
		if name == "" {
			name = field.Name
		}
		fields[name] = field.Type
	}
	return fields
}

func names(fields map[string]reflect.Type) string {
	list := make([]string, 0, len(fields))
	for name := range fields {
		list = append(list, name)
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func shorten(value string) string {
	if len(value) <= maxShown {
		return value
	}
	return strings.ToValidUTF8(value[:maxShown], "") + "…"
}
