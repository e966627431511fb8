package berylsettings

// This file defines strict decoding of JSON with comments.

import (
	"bytes"
	"encoding/json"
	"reflect"
	"regexp"
	"strings"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// Decode decodes JSON with comments into a struct. An unknown field is an error that
// names its line and the most similar known field.
func Decode(body []byte, into any) error {
	standard, err := hujson.Standardize(bytes.Clone(body))
	if err != nil {
		return errors.Wrap(err, "not valid JSON with comments")
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return explain(body, standard, decoder.InputOffset(), err, into)
	}
	return nil
}

var unknownField = regexp.MustCompile(`unknown field "([^"]*)"`)

// explain adds the line number to a decoding error. For an unknown field it suggests the
// most similar known one.
func explain(body, standard []byte, offset int64, err error, into any) error {
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return errors.Errorf("line %d: field %s cannot hold a %s", lineAt(standard, mismatch.Offset), mismatch.Field, mismatch.Value)
	}
	match := unknownField.FindStringSubmatch(err.Error())
	if match == nil {
		return errors.Wrapf(err, "line %d", lineAt(standard, offset))
	}
	line := 1
	if at := bytes.Index(body, []byte(`"`+match[1]+`"`)); at >= 0 {
		line = lineAt(body, int64(at))
	}
	if near := Nearest(match[1], fields(reflect.TypeOf(into), nil)); near != "" {
		return errors.Errorf("line %d: unknown field %q, did you mean %q?", line, match[1], near)
	}
	return errors.Errorf("line %d: unknown field %q", line, match[1])
}

// lineAt returns the line number of an offset; standardizing keeps all offsets.
func lineAt(body []byte, offset int64) int {
	return 1 + bytes.Count(body[:min(offset, int64(len(body)))], []byte("\n"))
}

// fields appends the JSON field names of a struct type and of the structs nested in it.
func fields(typ reflect.Type, names []string) []string {
	for typ.Kind() == reflect.Pointer || typ.Kind() == reflect.Map || typ.Kind() == reflect.Slice {
		typ = typ.Elem()
	}
	if typ.Kind() != reflect.Struct {
		return names
	}
	for i := range typ.NumField() {
		field := typ.Field(i)
		if name, _, _ := strings.Cut(field.Tag.Get("json"), ","); name != "" {
			names = append(names, name)
			names = fields(field.Type, names)
		}
	}
	return names
}

// Nearest returns the candidate with the smallest edit distance from the word, or "" if
// none is within half of the word's length.
func Nearest(word string, candidates []string) string {
	best, fewest := "", len(word)/2+1
	for _, candidate := range candidates {
		if edits := distance(strings.ToLower(word), strings.ToLower(candidate)); edits < fewest {
			best, fewest = candidate, edits
		}
	}
	return best
}

// distance returns the Levenshtein distance between two words.
func distance(left, right string) int {
	row := make([]int, len(right)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(left); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(right); j++ {
			cost := diagonal
			if left[i-1] != right[j-1] {
				cost++
			}
			diagonal, row[j] = row[j], min(cost, row[j]+1, row[j-1]+1)
		}
	}
	return row[len(right)]
}
