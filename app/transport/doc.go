// Package transport connects state machines, which do no I/O themselves, to the
// network. It sends their messages over HTTP to routers, agents, engines and the
// log service, and passes the messages that arrive on to them.
package transport

import "github.com/zeebo/errs"

// Error is the class of all errors of this package. Error texts carry the
// prefix "shell".
// The text is an earlier name of the package; it stays, as operators and message fields may see it.
var Error = errs.Class("shell")
