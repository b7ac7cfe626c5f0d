// Package cmds implements the command line. Each subcommand returns an error, which Run maps to an
// exit code.
package cmds
