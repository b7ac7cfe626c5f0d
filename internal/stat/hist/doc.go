// Package hist keeps histograms and counters of requests by service and class, and exports them
// through expvar.
package hist
