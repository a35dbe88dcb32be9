// Package transport connects state machines without I/O to sockets.
package transport

import "github.com/zeebo/errs"

// Error is the class of all errors of this package.
var Error = errs.Class("transport")
