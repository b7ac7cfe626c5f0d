// Package admin serves the local HTTP interface of a daemon: announcements of the VM's backend
// server, health checks, metrics, and the status and drain requests of operators.
package admin
