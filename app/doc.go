// Package app is the root of the module with both programs and their I/O shells.
package app
