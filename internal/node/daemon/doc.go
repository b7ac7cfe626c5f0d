// Package daemon is the life of one daemon: it brings the control part, the
// outlet, the inlet and the local pages up, keeps them together, and takes
// them down without cutting off a request.
package daemon
