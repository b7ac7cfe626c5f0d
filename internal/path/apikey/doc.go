// Package apikey reads the API key of a request from its headers.
package apikey
