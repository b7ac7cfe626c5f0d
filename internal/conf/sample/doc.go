// Package sample makes declarations of any size, for tests, measurements and
// trials.
package sample
