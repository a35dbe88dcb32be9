package main

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"io"
	"strconv"

	"github.com/kumquatsill/kumquatsill/app/settings"
	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// secretBytes is the number of random bytes in a key.
const secretBytes = 32

func keyCommand(s streams) settings.Command {
	return settings.Command{
		Name: "key", Short: "Create keys for callers",
		Long: `Keys admit callers for a client account. The fleet knows only their hashes.

Examples:
  kumquatsill key create --account almacenes-lira` + exitCodes,
		Sub: []settings.Command{{
			Name: "create", Short: "Create a key", Data: &keyCreate{printer: printer{streams: s}},
			Long: `Create a key. The secret is printed once and kept nowhere; the note fragment holds only its hash.

Examples:
  kumquatsill key create --account almacenes-lira
  kumquatsill key create --account almacenes-lira --based-on 7 --json` + exitCodes,
		}},
	}
}

type keyCreate struct {
	Account string `long:"account" description:"client account that the key admits for"`
	BasedOn string `long:"based-on" default:"0" value-name:"REVISION" description:"revision that the note fragment is based on"`
	printer
}

// newKey is the output of "key create" with --json.
type newKey struct {
	Secret string        `json:"secret"`
	Hash   proto.KeyHash `json:"hash"`
	Note   note.Note     `json:"note"`
}

// Execute implements flags.Commander.
func (f *keyCreate) Execute(args []string) error {
	var c settings.Checker
	c.NoArgs(args)
	c.Name("account", f.Account)
	base, err := strconv.ParseInt(f.BasedOn, 10, 64)
	if err != nil || base < 0 {
		c.Fail("based-on", "is %q, must be a revision", f.BasedOn)
	}
	if err := c.Err(); err != nil {
		return err
	}
	raw := make([]byte, secretBytes)
	if _, err := rand.Read(raw); err != nil {
		return err
	}
	key := newKey{Secret: "ks-" + base64.RawURLEncoding.EncodeToString(raw)}
	key.Hash = note.HashKey(key.Secret)
	key.Note = note.Note{BasedOn: proto.Revision(base), Reason: "key for " + f.Account}
	key.Note.Added.Keys = []note.Key{{Hash: key.Hash, Account: proto.AccountID(f.Account)}}
	if f.JSON {
		return f.printJSON(key)
	}
	return f.text(f.out, key)
}

func (f *keyCreate) text(w io.Writer, key newKey) error {
	_, _ = fmt.Fprintf(w, "secret, shown only now: %s\nhash: %s\n\nnote fragment:\n", key.Secret, key.Hash)
	return f.printJSON(key.Note)
}
