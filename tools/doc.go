// Package tools pins the linter of the workspace.
package tools
