// Package gopls pins the tool that renames identifiers across the workspace.
// It is a module of its own, outside go.work, because it needs another version
// of golang.org/x/tools than the linter:
//
//	GOWORK=off go -C tools/gopls build -o FOLDER golang.org/x/tools/gopls
package gopls
