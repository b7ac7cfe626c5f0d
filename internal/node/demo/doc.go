// Package demo runs a demonstration on loopback: a stand-in for the platform,
// daemons and small backend servers, with a steady load of requests.
package demo
