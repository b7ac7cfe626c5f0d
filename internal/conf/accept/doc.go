// Package accept commits configurations to the platform's store. The commit point is one
// compare-and-swap of a single small record, so the history is linear.
//
// Contents are stored under keys of their own and written before that record. The record lists
// the IDs of recent submissions, so that a commit whose response was lost is recognized and not
// made twice.
package accept
