// Package outlet takes the requests of callers, picks backend servers for them
// and sends them to those servers' inlets, again where outcome and rules allow.
package outlet
