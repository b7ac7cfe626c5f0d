// Package meter counts the bytes that connections read and write, including all framing above TCP.
package meter
