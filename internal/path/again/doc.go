// Package again recognises requests whose callers come back after a failed try, and
// learns of which routes they do.
package again
