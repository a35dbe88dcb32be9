// Command rig2 runs one case of the review: it starts the project's router as separate
// processes, with stand-ins for the platform's store, engines and clients, and checks one
// rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

// counts counts outcomes by name.
type counts struct {
	mu sync.Mutex
	n  map[string]int
}

func newCounts() *counts { return &counts{n: map[string]int{}} }

func (c *counts) add(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n[name]++
}

func (c *counts) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var parts []string
	for name, n := range c.n {
		parts = append(parts, fmt.Sprintf("%s x %d", name, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}

var cases = map[string]func(f *fleet, trouble bool) bool{"early": runEarly, "heads": runHeads, "ids": runIDs, "crowd": runCrowd, "strangers": runStrangers}

// minFiles is the number of open files that this program or a router may need in each case.
var minFiles = map[string]uint64{"strangers": 2_500, "crowd": 2_500, "early": 2_500, "heads": 3_500, "ids": 9_000}

// maxRun is the time after which a case is given up.
const maxRun = 115 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE FOLDER")
		os.Exit(2)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		endAll()
		os.Exit(2)
	}()
	time.AfterFunc(maxRun, func() {
		endAll()
		os.Exit(2)
	})
	var files syscall.Rlimit
	must(syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files))
	if files.Cur < minFiles[os.Args[1]] {
		must(fmt.Errorf("%d files may be open, %d are needed", files.Cur, minFiles[os.Args[1]]))
	}
	f := newFleet(os.Args[2])
	trouble := os.Getenv("TROUBLE") != "0"
	f.record.line("case %s, with the disruption: %v", os.Args[1], trouble)
	held := cases[os.Args[1]](f, trouble)
	f.close()
	if !held {
		f.record.line("the rule was broken")
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	f.record.line("the rule held")
	fmt.Println("the rule held")
}
