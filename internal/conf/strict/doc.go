// Package strict reads YAML into plain structs and reports every problem with
// its file, line, column and remedy, where a YAML library stops at the first
// or drops what it does not know.
package strict
