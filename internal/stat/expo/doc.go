// Package expo writes expvar metrics in the text exposition format that common collectors read.
package expo
