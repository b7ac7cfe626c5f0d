// Package pacer schedules responses on a VM's narrow link: large ones are sent in chunks at the
// link's rate, and small ones ahead of them.
package pacer
