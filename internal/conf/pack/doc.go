// Package pack encodes declarations as contents that are addressed by their digest, and computes,
// encodes and applies deltas between contents.
package pack
