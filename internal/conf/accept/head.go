package accept

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/flamingomast/flamingomast/internal/conf/pack"
	"github.com/flamingomast/flamingomast/internal/plat/store"
)

// HeadKey is the key of the record that is the commit point.
const HeadKey = "head"

// keepRecent is how many submissions the head remembers. A submission is
// recognised when repeated for as long as it is remembered.
const keepRecent = 64

// KeepContents is how many versions have their contents kept in the platform.
const KeepContents = 512

// partSize is the most bytes of content in one value, half of the platform's
// limit.
const partSize = store.MaxValue / 2

// Entry describes one accepted version.
type Entry struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	// Content is the prefix of the keys that hold the content, in Parts parts.
	Content string `json:"content"`
	Parts   int    `json:"parts"`
	// Parent is the version it follows; Base the one it was made from.
	Parent     uint64    `json:"parent"`
	Base       uint64    `json:"base"`
	Submission string    `json:"submission"`
	Author     string    `json:"author,omitempty"`
	Commit     string    `json:"commit,omitempty"`
	Time       time.Time `json:"time"`
}

// Head is the record at HeadKey.
type Head struct {
	// Last is the newest entry, zero before the first version. The entries
	// before it are kept under their own keys.
	Last Entry `json:"last"`
	// Recent lists the newest submissions, the last one at the end.
	Recent []Ref `json:"recent"`
}

// Ref says which version a submission became.
type Ref struct {
	Version    uint64 `json:"version"`
	Submission string `json:"submission"`
}

func (hd *Head) bySubmission(id string) (version uint64, ok bool) {
	i := slices.IndexFunc(hd.Recent, func(rf Ref) bool { return rf.Submission == id })
	if i < 0 {
		return 0, false
	}
	return hd.Recent[i].Version, true
}

// ParseHead reads the value of HeadKey; an empty one is the empty head.
func ParseHead(value []byte) (*Head, error) {
	var hd Head
	if len(value) == 0 {
		return &hd, nil
	}
	if err := json.Unmarshal(value, &hd); err != nil {
		return nil, fmt.Errorf("accept: the head record: %w", err)
	}
	return &hd, nil
}

// Load reads the head and its revision.
func Load(ctx context.Context, kv store.Store) (*Head, store.Revision, error) {
	ent, err := kv.Get(ctx, HeadKey)
	if err != nil {
		return nil, store.Revision{}, err
	}
	hd, err := ParseHead(ent.Value)
	return hd, ent.Revision, err
}

// Find returns the entry of a version, from the head or from its own key.
func Find(ctx context.Context, kv store.Store, hd *Head, version uint64) (Entry, error) {
	if hd.Last.Version == version {
		return hd.Last, nil
	}
	ent, err := kv.Get(ctx, versionKey(version))
	if err != nil {
		return Entry{}, err
	}
	if !ent.Revision.Exists() {
		return Entry{}, &MissingError{Version: version, Newest: hd.Last.Version}
	}
	var en Entry
	if err := json.Unmarshal(ent.Value, &en); err != nil {
		return Entry{}, fmt.Errorf("accept: the record of version %d: %w", version, err)
	}
	return en, nil
}

// MissingError says that the platform keeps no record of a version.
type MissingError struct {
	Version, Newest uint64
}

// Error names the version and the newest one.
func (er *MissingError) Error() string {
	return fmt.Sprintf("version %d is not kept; the newest is %d", er.Version, er.Newest)
}

func versionKey(version uint64) string { return fmt.Sprintf("version/%d", version) }

func partKey(prefix string, part int) string { return fmt.Sprintf("%s/%d", prefix, part) }

// DeltaKey is the key of the delta that leads from the content base to the
// content of en.
func DeltaKey(en Entry, base pack.Digest) string {
	return fmt.Sprintf("delta/%s/%s", en.Content, base)
}

// Content reads the whole content of an entry and compares its digest.
func Content(ctx context.Context, kv store.Store, en Entry) (*pack.Content, error) {
	var body []byte
	for part := range en.Parts {
		ent, err := kv.Get(ctx, partKey(en.Content, part))
		if err != nil {
			return nil, err
		}
		if !ent.Revision.Exists() {
			return nil, &MissingError{Version: en.Version, Newest: en.Version}
		}
		body = append(body, ent.Value...)
	}
	return apply(nil, body, en)
}

// ContentFrom reads the content of an entry as a delta from base where the platform
// keeps one, else whole.
func ContentFrom(ctx context.Context, kv store.Store, base *pack.Content, en Entry) (*pack.Content, error) {
	if base == nil {
		return Content(ctx, kv, en)
	}
	ent, err := kv.Get(ctx, DeltaKey(en, base.Digest))
	if err != nil {
		return nil, err
	}
	if !ent.Revision.Exists() {
		return Content(ctx, kv, en)
	}
	return apply(base, ent.Value, en)
}

func apply(base *pack.Content, body []byte, en Entry) (*pack.Content, error) {
	want, err := pack.ParseDigest(en.Digest)
	if err != nil {
		return nil, err
	}
	co, err := pack.ApplyEncoded(base, body, want)
	if err != nil {
		return nil, fmt.Errorf("accept: version %d: %w", en.Version, err)
	}
	return co, nil
}
