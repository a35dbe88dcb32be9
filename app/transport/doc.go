// Package transport connects state machines without I/O to sockets.
package transport

import "github.com/zeebo/errs"

// Error is the class of all errors of this package. Error texts carry the
// prefix "shell".
var Error = errs.Class("shell")
