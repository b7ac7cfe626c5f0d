// Package resend detects that a caller retries a request after a failed try, and learns on which
// routes callers do so.
package resend
