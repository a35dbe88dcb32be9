// Command harness runs one case of the review: it starts router processes, stand-ins for
// the platform's store, engines and clients, and checks one rule from what these see.
package main

import (
	"fmt"
	"os"
	"strings"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// trouble is false if the case runs without its disruption.
var trouble = os.Getenv("TROUBLE") != "0"

var cases = map[string]func(binary string) (broken bool){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE ROUTER-BINARY")
		os.Exit(exitNotRun)
	}
	defer func() {
		if p := recover(); p != nil {
			fmt.Fprintln(os.Stderr, "the case could not run:", p)
			os.Exit(exitNotRun)
		}
	}()
	if cases[os.Args[1]](os.Args[2]) {
		fmt.Println("the rule was broken")
		os.Exit(exitBroken)
	}
	fmt.Println("the rule held")
	os.Exit(exitHeld)
}

func check(err error) {
	if err != nil {
		panic(err)
	}
}

func splitLines(data []byte) []string { return strings.Split(string(data), "\n") }
