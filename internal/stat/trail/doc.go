// Package trail finds the cause of what became of one request in the logs of
// several daemons.
package trail
