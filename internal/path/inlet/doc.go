// Package inlet forwards requests to the backend server of its own VM, and is the only way to it. It
// counts the server's requests exactly, so admission, draining and the "not run" outcome are decided
// from first-hand data.
package inlet
