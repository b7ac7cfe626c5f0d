// Package member keeps the records in which VMs state what they serve. Merging
// takes the highest of two records, so that order, delay and repetition of
// messages do not matter and a dead process is not revived.
package member
