package document

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// Decode reads one JSON value into target and refuses unknown fields and trailing data.
// The error is of type Problems.
func Decode(data []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return Problems{problemOf(err)}
	}
	if _, err := decoder.Token(); err != io.EOF {
		return Problems{{Value: "data after the document", Allowed: "one JSON value"}}
	}
	return nil
}

func problemOf(err error) Problem {
	var kind *json.UnmarshalTypeError
	if errors.As(err, &kind) {
		return Problem{Path: kind.Field, Value: kind.Value, Allowed: "a value of type " + kind.Type.String()}
	}
	if name, found := strings.CutPrefix(err.Error(), "json: unknown field "); found {
		return Problem{Path: strings.Trim(name, `"`), Value: "the field " + name, Allowed: "only the documented fields"}
	}
	return Problem{Value: fmt.Sprintf("malformed JSON (%s)", err), Allowed: "a JSON document"}
}
