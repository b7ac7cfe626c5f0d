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

// Submission is a configuration that an operator wants to be in force.
type Submission struct {
	// ID names the submission; the same one given again is not made twice.
	ID string
	// Base is the version that Content was made from.
	Base    uint64
	Content *pack.Content
	Author  string
	Commit  string
	// NoRebase makes Content replace all that is in force at Base, and conflict
	// with any version that was accepted since.
	NoRebase bool
	// Floor is the highest version that the fleet is known to hold.
	Floor uint64
	// Resume lets the next version follow Floor when the platform has lost
	// versions that the fleet holds.
	Resume bool
	// OnRemoveError, if set, is told of an old key that could not be removed. It stays until the
	// platform's owner removes it, and harms nothing.
	OnRemoveError func(key string, err error)
}

// Status is how a submission ended.
type Status int

// The ways in which a submission ends without an error.
const (
	// Accepted means that this call made a new version.
	Accepted Status = iota + 1
	// Already means that an earlier call with the same ID made it.
	Already
	// Unchanged means that the version in force says the same.
	Unchanged
)

// String returns the status in words.
func (st Status) String() string {
	return [...]string{"", "accepted", "already-accepted", "unchanged"}[st]
}

// Result tells what became of a submission.
type Result struct {
	Status Status
	Entry  Entry
	// Rebased says that other submissions came in between and that the content
	// holds their changes too.
	Rebased bool
}

// ConflictError says that another submission changed the same resources.
type ConflictError struct {
	Keys   []pack.Key
	Base   uint64
	Theirs Entry
}

// Error names the resources, both versions and the other author.
func (er *ConflictError) Error() string {
	names := make([]string, len(er.Keys))
	for i, ky := range er.Keys {
		names[i] = ky.String()
	}
	return fmt.Sprintf("conflict: %s changed since version %d, by version %d (author %q, commit %q); take that version's changes in and submit again with --base %d",
		strings.Join(names, ", "), er.Base, er.Theirs.Version, er.Theirs.Author, er.Theirs.Commit, er.Theirs.Version)
}

// BehindError says that the platform has lost versions that the fleet holds.
type BehindError struct {
	Head, Floor uint64
}

// Error says how to go on.
func (er *BehindError) Error() string {
	return fmt.Sprintf("the platform is at version %d and the fleet holds version %d: the platform was set back; check the declarations, then use --resume to go on with version %d",
		er.Head, er.Floor, er.Floor+1)
}

// UnknownError says that the submission may or may not have been accepted.
type UnknownError struct {
	ID  string
	Err error
}

// Error says how to find out.
func (er *UnknownError) Error() string {
	return fmt.Sprintf("it is not known whether the submission was accepted (%v); submit again with --submission %s, it will not be made twice", er.Err, er.ID)
}

// Unwrap returns the cause.
func (er *UnknownError) Unwrap() error { return er.Err }

// The waits between attempts while the platform does not answer.
const (
	firstWait = 20 * time.Millisecond
	mostWait  = time.Second
)

// Submit makes the content of sub the newest version, or says why not. It goes
// on through outages of the platform until ctx ends.
func Submit(ctx context.Context, kv store.Store, sub Submission) (Result, error) {
	sm := &submitter{kv: kv, sub: sub}
	for wait := firstWait; ; wait = min(2*wait, mostWait) {
		res, done, err := sm.attempt(ctx)
		if done {
			return res, err
		}
		select {
		case <-ctx.Done():
			if sm.swapped {
				return Result{}, &UnknownError{ID: sub.ID, Err: err}
			}
			return Result{}, fmt.Errorf("not accepted: %w", err)
		case <-time.After(rand.N(wait)):
		}
	}
}

type submitter struct {
	kv  store.Store
	sub Submission
	// swapped is set once a swap was sent whose outcome is unknown.
	swapped bool
}

// attempt tries once. It is not done when another attempt may succeed.
func (sm *submitter) attempt(ctx context.Context) (res Result, done bool, err error) {
	hd, rev, err := Load(ctx, sm.kv)
	if err != nil {
		return Result{}, false, err
	}
	// The record is read before each swap. Where an earlier swap took effect
	// and its answer was lost, the id stands in the record, also when other
	// versions came after it. A swap still on its way bears the same revision
	// as the next one, so only one of the two takes effect.
	if version, ok := hd.bySubmission(sm.sub.ID); ok {
		en, err := Find(ctx, sm.kv, hd, version)
		return Result{Status: Already, Entry: en, Rebased: en.Base != en.Parent}, err == nil, err
	}
	last := hd.Last
	if last.Version < sm.sub.Floor && !sm.sub.Resume {
		return Result{}, true, &BehindError{Head: last.Version, Floor: sm.sub.Floor}
	}
	co, old, err := sm.rebase(ctx, hd)
	if err != nil {
		return Result{}, !isPlatform(err), err
	}
	if co.Digest.String() == last.Digest && last.Version >= sm.sub.Floor {
		return Result{Status: Unchanged, Entry: last}, true, nil
	}
	en := sm.entry(last, co)
	if err := sm.write(ctx, &en, last, old, co); err != nil {
		return Result{}, store.IsKind(err, store.TooLarge), err
	}
	return sm.commit(ctx, hd, rev, en)
}

func isPlatform(err error) bool {
	return store.IsKind(err, store.Unavailable) || store.IsKind(err, store.Unknown) || store.IsKind(err, store.RateLimited)
}

func (sm *submitter) entry(last Entry, co *pack.Content) Entry {
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

// rebase returns the content to commit on top of the head, and the head's own.
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

// Rebase returns theirs with the changes that lead from base to mine. Changes
// of one resource on both sides, unless they are equal, are a ConflictError;
// the whole is checked again, since changes of different resources may clash.
func Rebase(base, mine, theirs *pack.Content) (*pack.Content, error) {
	my := pack.Diff(base, mine)
	changed := map[pack.Key]bool{}
	for _, ky := range pack.Diff(base, theirs).Keys() {
		changed[ky] = true
	}
	var clash []pack.Key
	for _, ky := range my.Keys() {
		if changed[ky] && string(mine.Get(ky)) != string(theirs.Get(ky)) {
			clash = append(clash, ky)
		}
	}
	if clash != nil {
		return nil, &ConflictError{Keys: clash}
	}
	var res []pack.Resource
	mineKeys := map[pack.Key]bool{}
	for _, ky := range my.Keys() {
		mineKeys[ky] = true
	}
	for _, rs := range theirs.Resources {
		if !mineKeys[rs.Key] {
			res = append(res, rs)
		}
	}
	next := pack.New(append(res, my.Set...))
	ms, err := pack.Decode(next)
	if err != nil {
		return nil, err
	}
	if prs := decl.Check(ms); len(prs) > 0 {
		return nil, &CheckError{Problems: prs}
	}
	return next, nil
}

// CheckError says that a submission and the ones before it fail the check when
// taken together.
type CheckError struct {
	Problems strict.Problems
}

// Error lists the problems.
func (er *CheckError) Error() string {
	return "together with the versions accepted since its base the submission fails the check:\n" + er.Problems.Error()
}

// write stores the content, whole and as a delta, ahead of the commit. It also
// stores the entry that the commit takes out of the head, so that none is ever
// lost, whenever the process may die.
func (sm *submitter) write(ctx context.Context, en *Entry, last Entry, old, co *pack.Content) error {
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

// put writes a value that is the same whenever it is written, so that a key
// which exists already is as good as written.
func (sm *submitter) put(ctx context.Context, key string, value []byte) error {
	_, _, err := sm.kv.Swap(ctx, store.Change{Key: key, Value: value})
	return err
}

func (sm *submitter) commit(ctx context.Context, hd *Head, rev store.Revision, en Entry) (Result, bool, error) {
	next := Head{Last: en, Recent: append(slices.Clone(hd.Recent), Ref{Version: en.Version, Submission: en.Submission})}
	if n := len(next.Recent); n > keepRecent {
		next.Recent = next.Recent[n-keepRecent:]
	}
	value, err := json.Marshal(next)
	if err != nil {
		return Result{}, true, err
	}
	ok, _, err := sm.kv.Swap(ctx, store.Change{Key: HeadKey, Revision: rev, Value: value})
	if err != nil {
		sm.swapped = sm.swapped || store.IsKind(err, store.Unknown)
		return Result{}, false, err
	}
	if !ok {
		return Result{}, false, fmt.Errorf("another submission was accepted first")
	}
	sm.tidy(ctx, en)
	return Result{Status: Accepted, Entry: en, Rebased: en.Base != en.Parent}, true, nil
}

// tidy removes the content that is no longer kept. Should the process die
// before, what is left over costs space only.
func (sm *submitter) tidy(ctx context.Context, en Entry) {
	if en.Version <= KeepContents {
		return
	}
	old, err := Find(ctx, sm.kv, &Head{}, en.Version-KeepContents)
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

// Restore makes a version that the platform has lost its newest one again, with the
// content that daemons hold. It does so once, whoever else restores the same version, and
// leaves a platform alone that has gone on to it or a later one.
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
