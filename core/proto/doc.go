// Package proto defines the protocol between the processes of kumquatsill and
// external systems: identifiers, messages and verdicts. It also defines the
// Machine interface that every node implements.
package proto
