// Package pick chooses the backend server for a request: by the rules first,
// then by failure domain, room and what recent outcomes tell. It takes no lock
// and allocates nothing on the path of a request.
package pick
