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

// MaxBytes is the maximum size of a note in its JSON form. It leaves room for
// the other fields of the log record that contains the note.
const MaxBytes = 768 << 10

// maxDepth is the maximum nesting depth. No valid note comes close to it.
const maxDepth = 16

// HashKey returns the hash under which a caller's key is stored.
func HashKey(secret string) proto.KeyHash {
	sum := sha256.Sum256([]byte(secret))
	return proto.KeyHash(hex.EncodeToString(sum[:]))
}

// Digest returns a hash of the content of a note. It does not depend on the
// formatting of the JSON form that the note was parsed from.
func Digest(n Note) string {
	data, err := json.Marshal(n)
	if err != nil {
		// Only a weight that is NaN or infinite cannot be encoded, and a parsed
		// note cannot contain one.
		return ""
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:16])
}

// Parse decodes the JSON form of a note. It returns an error for oversized input,
// unknown or duplicate fields, wrong types and data after the note. An error
// about a single field is a *ValidationError.
func Parse(data []byte) (Note, error) {
	if len(data) > MaxBytes {
		return Note{}, Error.New("the note has %d bytes, at most %d are allowed", len(data), MaxBytes)
	}
	if !utf8.Valid(data) {
		return Note{}, Error.New("the note is not valid UTF-8")
	}
	if err := checkStructure(data); err != nil {
		return Note{}, err
	}
	var n Note
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&n); err != nil {
		return Note{}, wrapDecodeError(err)
	}
	return n, nil
}

// wrapDecodeError turns a type error into a *ValidationError for its field.
func wrapDecodeError(err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) && typeErr.Field != "" {
		problem := fmt.Sprintf("is a JSON %s, must be of type %s", typeErr.Value, typeErr.Type)
		return &ValidationError{Fields: []FieldError{{Field: typeErr.Field, Problem: problem}}}
	}
	return Error.Wrap(err)
}

// checkStructure checks the document before it is decoded, because encoding/json
// silently uses the last of duplicate fields and ignores the case of field names.
func checkStructure(data []byte) error {
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
	return readEnd(dec)
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
		return readEnd(dec)
	}
	return nil
}

// readEnd reads the closing delimiter of an object or array.
func readEnd(dec *json.Decoder) error {
	if _, err := dec.Token(); err != nil {
		return Error.New("the note is not valid JSON: %v", err)
	}
	return nil
}
