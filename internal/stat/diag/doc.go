// Package diag explains the outcome of a single request from the logs of several daemons.
package diag
