// Package ident identifies requests by their content, so that a request is recognized when its
// caller retries it or when another VM receives it.
package ident
