// Command rig3 runs the cases of the third review that need processes on the real clock: a small
// deployment with stand-ins of the store, the engines and the clients on loopback addresses.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// cases maps the names of cases to their functions. trouble is not set if the case is to do the same
// without the disruption. A function returns whether the rule was broken.
var cases = map[string]func(f *fleet, trouble bool) (bool, error){
	"silent-connections": silentConnections,
	"crowd":              crowd,
}

func main() { os.Exit(run()) }

// run runs the case that the first argument names. The second is the root of the repository, the third
// the folder of the record.
func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE ROOT FOLDER")
		return cannotRun
	}
	rec, err := newRecord(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		return fail(err)
	}
	dir, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		return fail(err)
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println(dir)
	}
	f, err := newFleet(os.Args[2], dir, rec)
	if err != nil {
		return fail(err)
	}
	defer f.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("trouble %v", trouble)
	began := time.Now()
	isBroken, err := cases[os.Args[1]](f, trouble)
	if err != nil {
		rec.line("the case could not run: %v", err)
		return fail(err)
	}
	rec.line("broken %v after %.0f s", isBroken, time.Since(began).Seconds())
	if isBroken {
		return broken
	}
	return held
}

func fail(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return cannotRun
}
