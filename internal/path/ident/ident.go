package ident

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingomast/flamingomast/internal/path/result"
)

// Key identifies a request by its method, host, target, caller's credentials and body. It is taken
// from a cryptographic digest: all of its input is chosen by callers, and none must be able to
// construct a request that is taken for another caller's.
type Key uint64

// String returns the key in hexadecimal, as in logs.
func (ke Key) String() string { return strconv.FormatUint(uint64(ke), 16) }

// MaxPrefixBytes is the maximum length of the body prefix that is part of a key. It bounds what is
// kept of a streamed body.
const MaxPrefixBytes = 8 << 10

// keyFields returns the parts of a request, besides its body, that are part of its key. Outlets
// replace the API key of a request by its tenant, which inlets see as well.
func keyFields(r *http.Request) [4]string {
	return [...]string{r.Method, r.Host, r.URL.RequestURI(), cmp.Or(r.Header.Get(result.TenantHeader), r.Header.Get("Authorization"))}
}

// HeaderHash returns a cheap hash of a request without its body. Requests with the same key have
// the same HeaderHash, so a key is needed only for requests whose HeaderHash is known.
func HeaderHash(r *http.Request) uint64 {
	var di xxhash.Digest
	di.Reset()
	for _, text := range keyFields(r) {
		// Writing to a digest does not fail.
		_, _ = di.WriteString(text)
		_, _ = di.WriteString("\x00")
	}
	return di.Sum64()
}

// KeyOf returns the key of a request whose body begins with prefix. Only the first MaxPrefixBytes
// of prefix are used.
func KeyOf(r *http.Request, prefix []byte) Key {
	sum := sha256.New()
	for _, text := range keyFields(r) {
		// Writing to a hash does not fail. The length delimits the field.
		_ = binary.Write(sum, binary.BigEndian, uint32(len(text)))
		_, _ = io.WriteString(sum, text)
	}
	_, _ = sum.Write(prefix[:min(len(prefix), MaxPrefixBytes)])
	return Key(binary.BigEndian.Uint64(sum.Sum(nil)))
}

// PrefixReader reads a body and keeps its prefix. Prefix may be called while another goroutine
// reads.
type PrefixReader struct {
	r io.ReadCloser

	mu     sync.Mutex
	prefix []byte
	eof    bool
}

// NewPrefixReader returns a PrefixReader of a body of which nothing has been read.
func NewPrefixReader(r io.ReadCloser) *PrefixReader { return &PrefixReader{r: r} }

// Read reads the body.
func (pr *PrefixReader) Read(p []byte) (int, error) {
	n, err := pr.r.Read(p)
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.prefix = append(pr.prefix, p[:min(n, MaxPrefixBytes-len(pr.prefix))]...)
	pr.eof = pr.eof || err == io.EOF
	return n, err
}

// Close closes the body.
func (pr *PrefixReader) Close() error { return pr.r.Close() }

// Prefix returns the part of the body's prefix that has been read; length is the length of the body,
// or -1 if unknown. complete reports whether that is the whole prefix.
func (pr *PrefixReader) Prefix(length int64) (prefix []byte, complete bool) {
	if length == 0 {
		return nil, true
	}
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.prefix, pr.eof || len(pr.prefix) == MaxPrefixBytes || int64(len(pr.prefix)) == length
}
