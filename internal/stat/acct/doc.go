// Package acct summarizes the logs of several daemons: for each route, how many requests were
// answered in time, answered late, refused or failed, for which reasons, and where their time was
// spent.
package acct
