package accept

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/flamingomast/flamingomast/internal/conf/decl"
	"github.com/flamingomast/flamingomast/internal/conf/pack"
	"github.com/flamingomast/flamingomast/internal/conf/strict"
	"github.com/flamingomast/flamingomast/internal/plat/store"
)

// Submission is a configuration that an operator submits as the next version.
type Submission struct {
	// ID identifies the submission; submitting it again does not make a second version.
	ID string
	// Base is the version that Content was made from.
	Base    uint64
	Content *pack.Content
	Author  string
	Commit  string
	// NoRebase makes Content replace everything in force at Base and conflict with any version
	// accepted since.
	NoRebase bool
	// Floor is the highest version that the fleet is known to hold.
	Floor uint64
	// Resume lets the next version follow Floor if the platform has lost versions that the fleet
	// holds.
	Resume bool
	// OnRemoveError, if set, is called for each old key that could not be removed. The key takes
	// up space until the platform's owner removes it, and has no other effect.
	OnRemoveError func(key string, err error)
}

// Status is the outcome of a submission.
type Status int

// The outcomes of a submission without an error.
const (
	// Accepted means that this call made a new version.
	Accepted Status = iota + 1
	// AlreadyAccepted means that an earlier call with the same ID made the version.
	AlreadyAccepted
	// Unchanged means that the version in force has the same content.
	Unchanged
)

// String returns the status as it is shown to operators.
func (st Status) String() string {
	return [...]string{"", "accepted", "already-accepted", "unchanged"}[st]
}

// Result is the result of a submission that ended without an error.
type Result struct {
	Status Status
	Entry  Entry
	// Rebased reports that other versions were accepted since Base and that the content includes
	// their changes.
	Rebased bool
}

// ConflictError reports that another submission changed the same resources.
type ConflictError struct {
	Keys   []pack.Key
	Base   uint64
	Theirs Entry
}

// Error returns the resources, both versions, the other author and how to continue.
func (er *ConflictError) Error() string {
	names := make([]string, len(er.Keys))
	for i, ky := range er.Keys {
		names[i] = ky.String()
	}
	return fmt.Sprintf("conflict: %s changed since version %d, by version %d (author %q, commit %q); merge that version's changes and submit again with --base %d",
		strings.Join(names, ", "), er.Base, er.Theirs.Version, er.Theirs.Author, er.Theirs.Commit, er.Theirs.Version)
}

// BehindError reports that the platform has lost versions that the fleet holds.
type BehindError struct {
	Head, Floor uint64
}

// Error returns both versions and how to continue.
func (er *BehindError) Error() string {
	return fmt.Sprintf("the platform is at version %d and the fleet holds version %d: the platform was set back; check the declarations, then use --resume to go on with version %d",
		er.Head, er.Floor, er.Floor+1)
}

// UnknownError reports that the submission may or may not have been accepted.
type UnknownError struct {
	ID  string
	Err error
}

// Error returns the cause and how to find out the outcome.
func (er *UnknownError) Error() string {
	return fmt.Sprintf("it is not known whether the submission was accepted (%v); submit again with --submission %s, which makes no second version", er.Err, er.ID)
}

// Unwrap returns the cause.
func (er *UnknownError) Unwrap() error { return er.Err }

// The bounds of the randomized backoff between attempts.
const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = time.Second
)

// Submit commits the content of sub as the newest version, or returns why it cannot. It retries
// through outages of the platform until ctx is done.
func Submit(ctx context.Context, kv store.Store, sub Submission) (Result, error) {
	sm := &submitter{kv: kv, sub: sub}
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		res, done, err := sm.attempt(ctx)
		if done {
			return res, err
		}
		select {
		case <-ctx.Done():
			if sm.outcomeUnknown {
				return Result{}, &UnknownError{ID: sub.ID, Err: err}
			}
			return Result{}, fmt.Errorf("not accepted: %w", err)
		case <-time.After(rand.N(backoff)):
		}
	}
}

type submitter struct {
	kv  store.Store
	sub Submission
	// outcomeUnknown is set once a swap of the head record ended with an unknown outcome.
	outcomeUnknown bool
}

// attempt tries once to commit. done is false if another attempt may succeed.
func (sm *submitter) attempt(ctx context.Context) (res Result, done bool, err error) {
	hd, rev, err := Load(ctx, sm.kv)
	if err != nil {
		return Result{}, false, err
	}
	// The head record is read before each swap. If an earlier swap took effect but its response
	// was lost, the record lists the ID, even after other versions followed. A swap still in
	// flight expects the same revision as the next one, so only one of the two takes effect.
	if version, ok := hd.findSubmission(sm.sub.ID); ok {
		en, err := Find(ctx, sm.kv, hd, version)
		return Result{Status: AlreadyAccepted, Entry: en, Rebased: en.Base != en.Parent}, err == nil, err
	}
	last := hd.Last
	if last.Version < sm.sub.Floor && !sm.sub.Resume {
		return Result{}, true, &BehindError{Head: last.Version, Floor: sm.sub.Floor}
	}
	co, old, err := sm.rebase(ctx, hd)
	if err != nil {
		return Result{}, !isTransient(err), err
	}
	if co.Digest.String() == last.Digest && last.Version >= sm.sub.Floor {
		return Result{Status: Unchanged, Entry: last}, true, nil
	}
	en := sm.newEntry(last, co)
	if err := sm.writeContent(ctx, &en, last, old, co); err != nil {
		return Result{}, store.IsKind(err, store.TooLarge), err
	}
	return sm.commit(ctx, hd, rev, en)
}

func isTransient(err error) bool {
	return store.IsKind(err, store.Unavailable) || store.IsKind(err, store.Unknown) || store.IsKind(err, store.RateLimited)
}

func (sm *submitter) newEntry(last Entry, co *pack.Content) Entry {
	return Entry{
		Version:    max(last.Version, sm.sub.Floor) + 1,
		Digest:     co.Digest.String(),
		Content:    fmt.Sprintf("content/%s-%.12s", sm.sub.ID, co.Digest.String()),
		Parent:     last.Version,
		Base:       sm.sub.Base,
		Submission: sm.sub.ID,
		Author:     sm.sub.Author,
		Commit:     sm.sub.Commit,
		Time:       time.Now().UTC().Truncate(time.Millisecond),
	}
}

// rebase returns the content to commit on top of the head, and the content of the head itself.
func (sm *submitter) rebase(ctx context.Context, hd *Head) (next, old *pack.Content, err error) {
	last := hd.Last
	if last.Version == 0 {
		return sm.sub.Content, nil, nil
	}
	old, err = Content(ctx, sm.kv, last)
	if err != nil {
		return nil, nil, err
	}
	if sm.sub.Base == last.Version {
		return sm.sub.Content, old, nil
	}
	if sm.sub.NoRebase {
		return nil, nil, &ConflictError{Keys: []pack.Key{{Kind: "version", Name: fmt.Sprint(last.Version)}}, Base: sm.sub.Base, Theirs: last}
	}
	en, err := Find(ctx, sm.kv, hd, sm.sub.Base)
	if err != nil {
		return nil, nil, err
	}
	base, err := Content(ctx, sm.kv, en)
	if err != nil {
		return nil, nil, err
	}
	next, err = Rebase(base, sm.sub.Content, old)
	if ce, ok := err.(*ConflictError); ok {
		ce.Base, ce.Theirs = sm.sub.Base, last
	}
	return next, old, err
}

// Rebase is a three-way merge: it returns theirs with the changes from base to mine applied.
// Different changes to the same resource on both sides are a ConflictError. The result is checked
// again, since changes to different resources may be inconsistent with each other.
func Rebase(base, mine, theirs *pack.Content) (*pack.Content, error) {
	myDelta := pack.Diff(base, mine)
	changed := map[pack.Key]bool{}
	for _, ky := range pack.Diff(base, theirs).Keys() {
		changed[ky] = true
	}
	var conflicts []pack.Key
	for _, ky := range myDelta.Keys() {
		if changed[ky] && string(mine.Get(ky)) != string(theirs.Get(ky)) {
			conflicts = append(conflicts, ky)
		}
	}
	if conflicts != nil {
		return nil, &ConflictError{Keys: conflicts}
	}
	var res []pack.Resource
	myKeys := map[pack.Key]bool{}
	for _, ky := range myDelta.Keys() {
		myKeys[ky] = true
	}
	for _, rs := range theirs.Resources {
		if !myKeys[rs.Key] {
			res = append(res, rs)
		}
	}
	next := pack.New(append(res, myDelta.Set...))
	ms, err := pack.Decode(next)
	if err != nil {
		return nil, err
	}
	if prs := decl.Check(ms); len(prs) > 0 {
		return nil, &CheckError{Problems: prs}
	}
	return next, nil
}

// CheckError reports that a submission, merged with the versions accepted since its base, fails
// the check.
type CheckError struct {
	Problems strict.Problems
}

// Error lists the problems.
func (er *CheckError) Error() string {
	return "merged with the versions accepted since its base, the submission fails the check:\n" + er.Problems.Error()
}

// writeContent stores the content, in full and as a delta, before the commit. It also stores the
// entry that the commit replaces in the head record, so that no entry is lost if the process is
// killed at any point.
func (sm *submitter) writeContent(ctx context.Context, en *Entry, last Entry, old, co *pack.Content) error {
	if last.Version > 0 {
		value, err := json.Marshal(last)
		if err != nil {
			return err
		}
		if err := sm.put(ctx, versionKey(last.Version), value); err != nil {
			return err
		}
	}
	en.Parts = 0
	for part := range slices.Chunk(pack.Marshal(pack.Diff(nil, co)), partSize) {
		if err := sm.put(ctx, partKey(en.Content, en.Parts), part); err != nil {
			return err
		}
		en.Parts++
	}
	if old == nil {
		return nil
	}
	body := pack.Marshal(pack.Diff(old, co))
	if len(body) > partSize {
		return nil
	}
	return sm.put(ctx, DeltaKey(*en, old.Digest), body)
}

// put writes a value that is the same on every write, so a key that already exists counts as
// written.
func (sm *submitter) put(ctx context.Context, key string, value []byte) error {
	_, _, err := sm.kv.Swap(ctx, store.Change{Key: key, Value: value})
	return err
}

func (sm *submitter) commit(ctx context.Context, hd *Head, rev store.Revision, en Entry) (Result, bool, error) {
	next := Head{Last: en, Recent: append(slices.Clone(hd.Recent), Ref{Version: en.Version, Submission: en.Submission})}
	if n := len(next.Recent); n > maxRecent {
		next.Recent = next.Recent[n-maxRecent:]
	}
	value, err := json.Marshal(next)
	if err != nil {
		return Result{}, true, err
	}
	ok, _, err := sm.kv.Swap(ctx, store.Change{Key: HeadKey, Revision: rev, Value: value})
	if err != nil {
		sm.outcomeUnknown = sm.outcomeUnknown || store.IsKind(err, store.Unknown)
		return Result{}, false, err
	}
	if !ok {
		return Result{}, false, fmt.Errorf("another submission was accepted first")
	}
	sm.prune(ctx, en)
	return Result{Status: Accepted, Entry: en, Rebased: en.Base != en.Parent}, true, nil
}

// prune removes the content of the version that is no longer retained. If the process is killed
// before that, the remaining content only takes up space.
func (sm *submitter) prune(ctx context.Context, en Entry) {
	if en.Version <= RetainedContents {
		return
	}
	old, err := Find(ctx, sm.kv, &Head{}, en.Version-RetainedContents)
	if err != nil {
		return
	}
	for part := range old.Parts {
		sm.remove(ctx, partKey(old.Content, part))
	}
	if parent, err := Find(ctx, sm.kv, &Head{}, old.Parent); err == nil {
		if dg, err := pack.ParseDigest(parent.Digest); err == nil {
			sm.remove(ctx, DeltaKey(old, dg))
		}
	}
}

func (sm *submitter) remove(ctx context.Context, key string) {
	ent, err := sm.kv.Get(ctx, key)
	if err == nil && ent.Revision.Exists() {
		_, _, err = sm.kv.Swap(ctx, store.Change{Key: key, Revision: ent.Revision, Remove: true})
	}
	if err != nil && sm.sub.OnRemoveError != nil {
		sm.sub.OnRemoveError(key, err)
	}
}

// Restore commits a version that the platform has lost as its newest one, with the content that
// daemons hold. Concurrent restores of the same version commit it once. If the platform is
// already at this version or a later one, Restore does nothing.
func Restore(ctx context.Context, kv store.Store, version uint64, co *pack.Content) error {
	hd, _, err := Load(ctx, kv)
	if err != nil || hd.Last.Version >= version {
		return err
	}
	_, err = Submit(ctx, kv, Submission{
		ID: fmt.Sprintf("restore-%d-%.12s", version, co.Digest), Base: hd.Last.Version, Content: co, Author: "flamingomast",
		NoRebase: true, Floor: version - 1, Resume: true,
	})
	return err
}
