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

// HeadKey is the key of the head record, whose compare-and-swap is the commit point.
const HeadKey = "head"

// maxRecent is how many submissions the head record lists. A repeated submission is recognized
// only while it is listed.
const maxRecent = 64

// RetainedContents is how many versions keep their contents in the platform's store.
const RetainedContents = 512

// partSize is the maximum number of content bytes in one value, half of the store's limit.
const partSize = store.MaxValue / 2

// Entry describes one accepted version.
type Entry struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	// Content is the prefix of the keys that hold the content, which is split into Parts parts.
	Content string `json:"content"`
	Parts   int    `json:"parts"`
	// Parent is the preceding version, Base the version that the submission was made from.
	Parent     uint64    `json:"parent"`
	Base       uint64    `json:"base"`
	Submission string    `json:"submission"`
	Author     string    `json:"author,omitempty"`
	Commit     string    `json:"commit,omitempty"`
	Time       time.Time `json:"time"`
}

// Head is the record at HeadKey.
type Head struct {
	// Last is the newest entry, zero before the first version. Earlier entries are stored under
	// keys of their own.
	Last Entry `json:"last"`
	// Recent lists the newest submissions, oldest first.
	Recent []Ref `json:"recent"`
}

// Ref maps a submission to the version that it became.
type Ref struct {
	Version    uint64 `json:"version"`
	Submission string `json:"submission"`
}

func (hd *Head) findSubmission(id string) (version uint64, ok bool) {
	i := slices.IndexFunc(hd.Recent, func(rf Ref) bool { return rf.Submission == id })
	if i < 0 {
		return 0, false
	}
	return hd.Recent[i].Version, true
}

// ParseHead decodes the value of HeadKey; an empty value gives an empty Head.
func ParseHead(value []byte) (*Head, error) {
	var hd Head
	if len(value) == 0 {
		return &hd, nil
	}
	if err := json.Unmarshal(value, &hd); err != nil {
		return nil, fmt.Errorf("accept: decoding the head record: %w", err)
	}
	return &hd, nil
}

// Load reads the head record and its revision.
func Load(ctx context.Context, kv store.Store) (*Head, store.Revision, error) {
	ent, err := kv.Get(ctx, HeadKey)
	if err != nil {
		return nil, store.Revision{}, err
	}
	hd, err := ParseHead(ent.Value)
	return hd, ent.Revision, err
}

// Find returns the entry of a version, from the head record or from the version's own key.
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
		return Entry{}, fmt.Errorf("accept: decoding the record of version %d: %w", version, err)
	}
	return en, nil
}

// MissingError reports that the platform's store does not hold a version, or not its content.
type MissingError struct {
	Version, Newest uint64
}

// Error returns the missing version and the newest one.
func (er *MissingError) Error() string {
	return fmt.Sprintf("version %d is not kept; the newest is %d", er.Version, er.Newest)
}

func versionKey(version uint64) string { return fmt.Sprintf("version/%d", version) }

func partKey(prefix string, part int) string { return fmt.Sprintf("%s/%d", prefix, part) }

// DeltaKey returns the key of the delta from the content base to the content of en.
func DeltaKey(en Entry, base pack.Digest) string {
	return fmt.Sprintf("delta/%s/%s", en.Content, base)
}

// Content reads the full content of an entry and verifies its digest.
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
	return decodeContent(nil, body, en)
}

// ContentFrom reads the content of an entry as a delta from base if the store holds one, and in
// full otherwise.
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
	return decodeContent(base, ent.Value, en)
}

func decodeContent(base *pack.Content, body []byte, en Entry) (*pack.Content, error) {
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
