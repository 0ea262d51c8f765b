package document

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"unicode/utf8"
)

// Decode decodes one JSON value into target, a pointer. Unknown fields, duplicate fields, null, field names in another case
// and trailing data are errors. An error is of type Problems and lists everything that is wrong; target is then unchanged.
// Malformed JSON is the only problem in its list, with its line and column, because nothing after it can be decoded.
func Decode(data []byte, target any) error {
	if problem, found := findMalformed(data); found {
		return Problems{problem}
	}
	if problems := inspect(data, target); len(problems) > 0 {
		return problems
	}
	if err := json.Unmarshal(data, target); err != nil {
		return Problems{typeProblem(err)}
	}
	return nil
}

// findMalformed returns the first place where data is not one JSON value in UTF-8, and whether there is one.
func findMalformed(data []byte) (Problem, bool) {
	if !utf8.Valid(data) {
		return Problem{Path: lineAndColumn(data, firstInvalidByte(data)), Value: "a byte that is not UTF-8", Allowed: "JSON in UTF-8"}, true
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	var value json.RawMessage
	if err := decoder.Decode(&value); err != nil {
		return syntaxProblem(data, err), true
	}
	end := decoder.InputOffset()
	rest := bytes.TrimLeft(data[end:], " \t\r\n")
	if len(rest) > 0 {
		return Problem{Path: lineAndColumn(data, int64(len(data)-len(rest))), Value: "data after the document", Allowed: "one JSON value"}, true
	}
	return Problem{}, false
}

// syntaxProblem returns the problem for an error of the JSON decoder.
func syntaxProblem(data []byte, err error) Problem {
	offset := int64(len(data))
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		offset = max(syntax.Offset-1, 0)
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return Problem{Path: lineAndColumn(data, int64(len(data))), Value: "the end of the data", Allowed: "a complete JSON value"}
	}
	return Problem{Path: lineAndColumn(data, offset), Value: fmt.Sprintf("malformed JSON (%s)", err), Allowed: "a JSON value"}
}

// lineAndColumn returns the line and column of an offset as text. Both start at 1; columns count bytes.
func lineAndColumn(data []byte, offset int64) string {
	before := data[:min(offset, int64(len(data)))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return fmt.Sprintf("line %d column %d", line, column)
}

// firstInvalidByte returns the offset of the first byte that is not part of valid UTF-8, or the length of data.
func firstInvalidByte(data []byte) int64 {
	for i := 0; i < len(data); {
		char, size := utf8.DecodeRune(data[i:])
		if char == utf8.RuneError && size == 1 {
			return int64(i)
		}
		i += size
	}
	return int64(len(data))
}

// typeProblem returns the problem for an error of json.Unmarshal that inspect did not find.
func typeProblem(err error) Problem {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return Problem{Path: typeError.Field, Value: typeError.Value, Allowed: "a value of type " + typeError.Type.String()}
	}
	return Problem{Value: fmt.Sprintf("unreadable value (%s)", err), Allowed: "a JSON value"}
}
