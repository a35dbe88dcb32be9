// Package proto defines what the processes of kumquatsill say to each other
// and to the outside systems: identifiers, messages, verdicts and the Machine
// interface that every node implements.
package proto
