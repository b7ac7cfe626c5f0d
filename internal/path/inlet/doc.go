// Package inlet is the only way to a VM's own backend server. It counts the
// server's requests exactly, so that admission, drain and "not run" are
// decided where the truth is.
package inlet
