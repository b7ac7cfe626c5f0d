package decl

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"strings"

	"github.com/flamingomast/flamingomast/internal/conf/strict"
)

// Tenant is a customer. Its requests carry one of its API keys, and all daemons together admit them
// up to its rate. Once a tenant is declared, requests on routes that are not public need a key.
type Tenant struct {
	Name string `json:"name"`
	// Keys are the digests of the API keys.
	Keys []KeyDigest `json:"keys,omitempty"`
	// Rate is the number of requests per second that all daemons together admit; 0 stands for no
	// limit. Burst is how many more they admit at once after a pause.
	Rate  float64 `json:"rate,omitempty"`
	Burst float64 `json:"burst,omitempty"`
	// Priority, if set, replaces the priority of the route.
	Priority *int       `json:"priority,omitempty"`
	Pos      strict.Pos `json:"-"`
}

// KeyDigest is the SHA-256 digest of an API key. Only the digest of a key is kept, so that no
// configuration, log or message reveals a key.
type KeyDigest [sha256.Size]byte

// digestPrefix distinguishes the text form of a digest from an API key.
const digestPrefix = "sha256:"

// Bounds of the length of a declared API key in bytes. Digests of shorter keys could be reversed by
// trying all keys.
const (
	minKeyLen = 16
	MaxKeyLen = 256
)

// HashKey returns the digest of an API key.
func HashKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// IsSecret marks the type as a strict.Secret: declarations may contain the key itself.
func (KeyDigest) IsSecret() {}

// MarshalText returns the digest in hexadecimal, after the prefix "sha256:".
func (kd KeyDigest) MarshalText() ([]byte, error) {
	return hex.AppendEncode([]byte(digestPrefix), kd[:]), nil
}

// String returns the text form of the digest.
func (kd KeyDigest) String() string { return digestPrefix + hex.EncodeToString(kd[:]) }

// UnmarshalText parses what MarshalText returns, and hashes any other text as an API key. The
// errors do not contain the text.
func (kd *KeyDigest) UnmarshalText(text []byte) error {
	if digits, ok := strings.CutPrefix(string(text), digestPrefix); ok {
		sum, err := hex.DecodeString(digits)
		if err != nil || len(sum) != len(kd) {
			return fmt.Errorf("%q must be followed by the %d hexadecimal digits of a digest", digestPrefix, 2*len(kd))
		}
		*kd = KeyDigest(sum)
		return nil
	}
	if len(text) < minKeyLen || len(text) > MaxKeyLen {
		return fmt.Errorf("an API key has %d bytes; use %d to %d", len(text), minKeyLen, MaxKeyLen)
	}
	for _, c := range text {
		if c <= ' ' || c > '~' {
			return errors.New("an API key contains a space or another character that a header cannot carry")
		}
	}
	*kd = HashKey(string(text))
	return nil
}

func (ck *checker) checkTenants() {
	type owner struct {
		tenant string
		pos    strict.Pos
	}
	owners := map[KeyDigest]owner{}
	for i := range ck.ms.Tenants {
		tn := &ck.ms.Tenants[i]
		subject := fmt.Sprintf("tenant %q", tn.Name)
		for j, kd := range tn.Keys {
			if first, ok := owners[kd]; ok {
				ck.add(tn.Pos, "give each key to one tenant, once", "key %d of %s is already declared for tenant %q at %s", j+1, subject, first.tenant, first.pos)
				continue
			}
			owners[kd] = owner{tn.Name, tn.Pos}
		}
		ck.checkAmount(tn.Pos, subject, "rate", tn.Rate)
		ck.checkAmount(tn.Pos, subject, "burst", tn.Burst)
		if tn.Burst > 0 && tn.Rate == 0 {
			ck.add(tn.Pos, "set a rate, or leave out the burst", "%s has a burst without a rate", subject)
		}
		if tn.Priority != nil {
			ck.checkRange(tn.Pos, subject, "priority", *tn.Priority, 0, MaxPriority)
		}
	}
}

func (ck *checker) checkAmount(pos strict.Pos, subject, key string, got float64) {
	if !(got >= 0 && got <= maxRate) || math.IsNaN(got) {
		ck.add(pos, fmt.Sprintf("set it from 0 to %d", maxRate), "%s has %s %g", subject, key, got)
	}
}
