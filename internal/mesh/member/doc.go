// Package member holds the membership records in which VMs describe themselves. Of two
// records of a VM the higher one wins, so the order, delay and repetition of messages do not
// matter, and a late message does not make a process that has ended count as live again.
package member
