// Package cmds is the command line: each command as a function that returns an
// exit code.
package cmds
