// Package rate keeps the requests to one backend server within the rate that the server names for
// all callers together. It runs in the process beside the server, through which all of its requests
// pass, so that no other process takes part in the count.
package rate
