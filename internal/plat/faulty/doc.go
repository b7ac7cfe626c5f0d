// Package faulty is a fake backend server that fails in a given way and counts the requests that
// it has received.
package faulty
