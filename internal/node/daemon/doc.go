// Package daemon runs one daemon: it starts the control plane, the outlet, the inlet and the local
// HTTP pages, supervises them, and shuts them down without interrupting requests.
package daemon
