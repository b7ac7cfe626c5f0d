// Package logs writes a daemon's log: JSON lines, bounded in number, and never
// waited for.
package logs
