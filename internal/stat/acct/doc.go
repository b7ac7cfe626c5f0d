// Package acct joins the logs of daemons into one account of a span of time: for each
// route how many requests were answered in time, late or not at all, for which reason,
// and where their time went.
package acct
