package document

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"unicode/utf8"
)

// Decode reads one JSON value into target. Unknown fields, duplicate keys, null,
// names in another case and trailing data are refused. The error is of type Problems and
// lists all of them; target is not changed then. Malformed JSON is reported alone, with its
// line and column, because nothing after it can be read.
func Decode(data []byte, target any) error {
	if problem, bad := malformed(data); bad {
		return Problems{problem}
	}
	if problems := inspect(data, target); len(problems) > 0 {
		return problems
	}
	if err := json.Unmarshal(data, target); err != nil {
		return Problems{problemOf(err)}
	}
	return nil
}

// malformed finds the first place where data is not one JSON value in UTF-8.
func malformed(data []byte) (Problem, bool) {
	if !utf8.Valid(data) {
		return Problem{Path: place(data, invalidAt(data)), Value: "a byte that is not UTF-8", Allowed: "JSON in UTF-8"}, true
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	var whole json.RawMessage
	if err := decoder.Decode(&whole); err != nil {
		return syntaxProblem(data, err), true
	}
	end := decoder.InputOffset()
	rest := bytes.TrimLeft(data[end:], " \t\r\n")
	if len(rest) > 0 {
		return Problem{Path: place(data, int64(len(data)-len(rest))), Value: "data after the document", Allowed: "one JSON value"}, true
	}
	return Problem{}, false
}

func syntaxProblem(data []byte, err error) Problem {
	offset := int64(len(data))
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		offset = max(syntax.Offset-1, 0)
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return Problem{Path: place(data, int64(len(data))), Value: "the end of the data", Allowed: "a complete JSON value"}
	}
	return Problem{Path: place(data, offset), Value: fmt.Sprintf("malformed JSON (%s)", err), Allowed: "a JSON value"}
}

// place names the line and the column, counted in bytes from 1, of an offset.
func place(data []byte, offset int64) string {
	before := data[:min(offset, int64(len(data)))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return fmt.Sprintf("line %d column %d", line, column)
}

func invalidAt(data []byte) int64 {
	for i := 0; i < len(data); {
		char, size := utf8.DecodeRune(data[i:])
		if char == utf8.RuneError && size == 1 {
			return int64(i)
		}
		i += size
	}
	return int64(len(data))
}

func problemOf(err error) Problem {
	var kind *json.UnmarshalTypeError
	if errors.As(err, &kind) {
		return Problem{Path: kind.Field, Value: kind.Value, Allowed: "a value of type " + kind.Type.String()}
	}
	return Problem{Value: fmt.Sprintf("unreadable value (%s)", err), Allowed: "a JSON value"}
}
