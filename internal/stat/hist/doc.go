// Package hist keeps histograms and counters of requests for each service and
// class, and shows them through expvar.
package hist
