package ident

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Key names a request by its method, host, target, caller's credentials and body. It is
// cut from a cryptographic digest: callers choose all that goes into it, and one must
// not be able to make a request that is taken for another caller's.
type Key uint64

// String returns the key in hexadecimal, as logs show it.
func (ke Key) String() string { return strconv.FormatUint(uint64(ke), 16) }

// LeadBytes is the length of the part of a body that goes into a key, its lead. It
// bounds what is kept of a body that streams.
const LeadBytes = 8 << 10

// keyFields are what goes into a key beside the body.
func keyFields(r *http.Request) [4]string {
	return [...]string{r.Method, r.Host, r.URL.RequestURI(), r.Header.Get("Authorization")}
}

// Head is a cheap mark of a request without its body. Requests with one key have one
// head, so a key need not be made where the head is not known.
func Head(r *http.Request) uint64 {
	var di xxhash.Digest
	di.Reset()
	for _, text := range keyFields(r) {
		// Writing to a digest does not fail.
		_, _ = di.WriteString(text)
		_, _ = di.WriteString("\x00")
	}
	return di.Sum64()
}

// Of returns the key of a request whose body begins with lead; what is beyond LeadBytes
// of it does not count.
func Of(r *http.Request, prefix []byte) Key {
	sum := sha256.New()
	for _, text := range keyFields(r) {
		// Writing to a hash does not fail. The length tells where a field ends.
		_ = binary.Write(sum, binary.BigEndian, uint32(len(text)))
		_, _ = io.WriteString(sum, text)
	}
	_, _ = sum.Write(prefix[:min(len(prefix), LeadBytes)])
	return Key(binary.BigEndian.Uint64(sum.Sum(nil)))
}

// PrefixReader reads a body and keeps its lead. It may be asked from another goroutine than
// the one that reads.
type PrefixReader struct {
	r io.ReadCloser

	mu     sync.Mutex
	prefix []byte
	eof    bool
}

// NewPrefixReader returns a lead of a body that has none yet.
func NewPrefixReader(r io.ReadCloser) *PrefixReader { return &PrefixReader{r: r} }

// Read reads the body.
func (pr *PrefixReader) Read(p []byte) (int, error) {
	n, err := pr.r.Read(p)
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.prefix = append(pr.prefix, p[:min(n, LeadBytes-len(pr.prefix))]...)
	pr.eof = pr.eof || err == io.EOF
	return n, err
}

// Close closes the body.
func (pr *PrefixReader) Close() error { return pr.r.Close() }

// Prefix returns the lead of a body of the given length, -1 where that is not known. It
// reports whether as much of the body has been read.
func (pr *PrefixReader) Prefix(length int64) (prefix []byte, complete bool) {
	if length == 0 {
		return nil, true
	}
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.prefix, pr.eof || len(pr.prefix) == LeadBytes || int64(len(pr.prefix)) == length
}
