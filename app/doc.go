// Package app is the root of the module with both programs and the packages that do their I/O.
package app
