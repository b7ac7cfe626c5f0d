// Package pacer shares a VM's narrow link between answers: large ones are sent
// in pieces, at the link's rate, and small ones go before them.
package pacer
