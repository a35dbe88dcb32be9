package note

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"unicode/utf8"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// MaxBytes is the largest note in its JSON form. It leaves room for the rest
// of the log record that carries the note.
const MaxBytes = 768 << 10

// maxDepth is far above the depth of any valid note.
const maxDepth = 16

// HashKey returns the hash by which a caller's key is known.
func HashKey(secret string) proto.KeyHash {
	sum := sha256.Sum256([]byte(secret))
	return proto.KeyHash(hex.EncodeToString(sum[:]))
}

// Digest identifies the content of a note, however its JSON form was written.
func Digest(n Note) string {
	data, err := json.Marshal(n)
	if err != nil {
		return "" // only a weight that is no number has no JSON form, and JSON cannot carry one
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:16])
}

// Parse reads the JSON form of a note. It fails on oversized input, unknown
// or repeated fields, wrong types and anything after the note. An error about
// one field is a *ValidationError.
func Parse(data []byte) (Note, error) {
	if len(data) > MaxBytes {
		return Note{}, Error.New("the note has %d bytes, at most %d are allowed", len(data), MaxBytes)
	}
	if !utf8.Valid(data) {
		return Note{}, Error.New("the note is not valid UTF-8")
	}
	if err := checkFields(data); err != nil {
		return Note{}, err
	}
	var n Note
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&n); err != nil {
		return Note{}, fieldError(err)
	}
	return n, nil
}

func fieldError(err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) && typeErr.Field != "" {
		problem := fmt.Sprintf("is a JSON %s, must be of type %s", typeErr.Value, typeErr.Type)
		return &ValidationError{Fields: []FieldError{{Field: typeErr.Field, Problem: problem}}}
	}
	return Error.Wrap(err)
}

// checkFields walks the document before it is decoded, since encoding/json
// takes the last of two equal fields without an error and ignores case.
func checkFields(data []byte) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	tok, err := dec.Token()
	if err != nil {
		return Error.New("the note is not valid JSON: %v", err)
	}
	if tok != json.Delim('{') {
		return Error.New("the note is not a JSON object")
	}
	if err := walkObject(dec, "", 1); err != nil {
		return err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return Error.New("there is data after the note")
	}
	return nil
}

func walkObject(dec *json.Decoder, path string, depth int) error {
	seen := map[string]bool{}
	for dec.More() {
		tok, err := dec.Token()
		if err != nil {
			return Error.New("the note is not valid JSON: %v", err)
		}
		name, _ := tok.(string)
		field := strings.TrimPrefix(path+"."+name, ".")
		if name != strings.ToLower(name) {
			return &ValidationError{Fields: []FieldError{{Field: field, Problem: "is not a field of a note"}}}
		}
		if seen[name] {
			return &ValidationError{Fields: []FieldError{{Field: field, Problem: "is given twice"}}}
		}
		seen[name] = true
		if err := walkValue(dec, field, depth); err != nil {
			return err
		}
	}
	return endToken(dec)
}

func walkValue(dec *json.Decoder, path string, depth int) error {
	if depth > maxDepth {
		return Error.New("the note is nested too deeply at %s", path)
	}
	tok, err := dec.Token()
	if err != nil {
		return Error.New("the note is not valid JSON: %v", err)
	}
	switch tok {
	case json.Delim('{'):
		return walkObject(dec, path, depth+1)
	case json.Delim('['):
		for i := 0; dec.More(); i++ {
			if err := walkValue(dec, fmt.Sprintf("%s[%d]", path, i), depth+1); err != nil {
				return err
			}
		}
		return endToken(dec)
	}
	return nil
}

func endToken(dec *json.Decoder) error {
	if _, err := dec.Token(); err != nil {
		return Error.New("the note is not valid JSON: %v", err)
	}
	return nil
}
