// Package demo is the first look: a stand-in of the platform, small backend
// servers and daemons on loopback, with steady requests through them.
package demo
