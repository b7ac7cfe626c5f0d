// Package gone detects that the peer of a connection has closed it while a request's body is unread.
// The net/http server only watches a connection once it has read the body of the request to its end;
// until then, the context of a request whose caller has left stays alive. It also resets the connection
// of a request.
package gone
