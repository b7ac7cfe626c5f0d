// Package tally counts the requests of a backend server by route, with their failures and service
// times, so that versions of its software can be compared.
package tally
