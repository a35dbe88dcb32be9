// Package standin holds small stand-ins of the outside systems, for tests and for development.
package standin
