// Package retry decides whether a request is sent again: only where its
// outcome and the rules allow, and only within a budget that is a small part
// of the requests themselves.
package retry
