// Package proxy forwards one request over one hop: it cleans headers, sends
// the request once and only once, tells from the connection whether any of it
// was sent, and copies the answer without ever making a broken one look whole.
package proxy
