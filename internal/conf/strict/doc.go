// Package strict decodes YAML into plain structs. It reports every problem with its file, line,
// column and remedy, where a YAML library stops at the first one or ignores unknown keys.
package strict
