// Package admin serves what is local to a VM: announcements of its backend
// server, health, metrics, and the questions and orders of operators.
package admin
