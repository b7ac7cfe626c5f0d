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

// MaxPrefixBytes is the length of the part of a body that goes into a key, its lead. It
// bounds what is kept of a body that streams.
const MaxPrefixBytes = 8 << 10

// fields are what goes into a key beside the body.
func fields(r *http.Request) [4]string {
	return [...]string{r.Method, r.Host, r.URL.RequestURI(), r.Header.Get("Authorization")}
}

// HeaderHash is a cheap mark of a request without its body. Requests with one key have one
// head, so a key need not be made where the head is not known.
func HeaderHash(r *http.Request) uint64 {
	var di xxhash.Digest
	di.Reset()
	for _, text := range fields(r) {
		// Writing to a digest does not fail.
		_, _ = di.WriteString(text)
		_, _ = di.WriteString("\x00")
	}
	return di.Sum64()
}

// KeyOf returns the key of a request whose body begins with lead; what is beyond MaxPrefixBytes
// of it does not count.
func KeyOf(r *http.Request, lead []byte) Key {
	sum := sha256.New()
	for _, text := range fields(r) {
		// Writing to a hash does not fail. The length tells where a field ends.
		_ = binary.Write(sum, binary.BigEndian, uint32(len(text)))
		_, _ = io.WriteString(sum, text)
	}
	_, _ = sum.Write(lead[:min(len(lead), MaxPrefixBytes)])
	return Key(binary.BigEndian.Uint64(sum.Sum(nil)))
}

// Lead reads a body and keeps its lead. It may be asked from another goroutine than
// the one that reads.
type Lead struct {
	r io.ReadCloser

	mu   sync.Mutex
	kept []byte
	end  bool
}

// NewLead returns a lead of a body that has none yet.
func NewLead(r io.ReadCloser) *Lead { return &Lead{r: r} }

// Read reads the body.
func (le *Lead) Read(p []byte) (int, error) {
	n, err := le.r.Read(p)
	le.mu.Lock()
	defer le.mu.Unlock()
	le.kept = append(le.kept, p[:min(n, MaxPrefixBytes-len(le.kept))]...)
	le.end = le.end || err == io.EOF
	return n, err
}

// Close closes the body.
func (le *Lead) Close() error { return le.r.Close() }

// Bytes returns the lead of a body of the given length, -1 where that is not known. It
// reports whether as much of the body has been read.
func (le *Lead) Bytes(length int64) (lead []byte, whole bool) {
	if length == 0 {
		return nil, true
	}
	le.mu.Lock()
	defer le.mu.Unlock()
	return le.kept, le.end || len(le.kept) == MaxPrefixBytes || int64(len(le.kept)) == length
}
