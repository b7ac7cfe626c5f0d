// Package addrs finds free loopback addresses for demonstrations and tests.
package addrs
