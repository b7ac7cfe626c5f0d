// Package outlet accepts the requests of callers, picks a backend server for each of them and sends
// it to that server's inlet. It retries a request where the outcome and the rules of its route
// allow that.
package outlet
