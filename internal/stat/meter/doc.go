// Package meter counts the bytes of connections, both ways and with all
// framing above TCP.
package meter
