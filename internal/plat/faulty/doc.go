// Package faulty is a stand-in of a backend server that fails in a given way
// and counts the requests that it has seen.
package faulty
