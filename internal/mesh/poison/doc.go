// Package poison records which requests were running when backend servers crashed, and decides
// which of these requests to refuse.
//
// When a server crashes it takes down all requests that it was running. One of them may be the
// cause, a poison request. It differs from the others by what happens when they are run again:
// the others are answered, and the poison request crashes the next server. So each crash counts
// against all requests that the server was running, and an answer clears a request of all
// crashes that were known of it by then.
//
// A crash is any end of a server's process while it runs requests, whatever the reason.
//
// Reports never become false, so they may arrive late, repeatedly and in any order. Daemons
// that have received the same reports hold the same state.
package poison
