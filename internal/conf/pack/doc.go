// Package pack turns declarations into content that is addressed by its
// digest, and computes, encodes and applies the deltas between contents.
package pack
