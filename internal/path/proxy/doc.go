// Package proxy forwards one request over one hop. It sanitizes headers, sends each request at most
// once, tells from the connection whether any of it was sent, and copies the response so that a
// truncated one never looks complete.
package proxy
