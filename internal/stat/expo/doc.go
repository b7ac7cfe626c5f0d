// Package expo writes expvar metrics as the text that common collectors read.
package expo
