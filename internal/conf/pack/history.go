package pack

import "sync"

// keepBases is how many contents a History keeps as bases of deltas. Who is
// farther behind gets the whole, which is not much larger than many deltas. Contents
// share the bodies of equal resources, so each costs little.
const keepBases = 8

// History keeps the newest contents and encodes deltas between them, each once
// however many peers ask for it.
type History struct {
	mu     sync.Mutex
	list   []*Content
	latest *Content
	bodies map[Digest][]byte
}

// Add makes co the newest content.
func (hi *History) Add(co *Content) {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	hi.latest = co
	hi.bodies = map[Digest][]byte{}
	hi.list = append(hi.list, co)
	if len(hi.list) > keepBases {
		hi.list = append([]*Content(nil), hi.list[len(hi.list)-keepBases:]...)
	}
}

// EncodedDelta returns the encoded delta from the content base to the content next, if
// both are known and next is the newest.
func (hi *History) EncodedDelta(base, next Digest) ([]byte, bool) {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	if hi.latest == nil || hi.latest.Digest != next {
		return nil, false
	}
	if body, ok := hi.bodies[base]; ok {
		return body, true
	}
	for _, co := range hi.list {
		if co.Digest == base {
			body := Marshal(Diff(co, hi.latest))
			hi.bodies[base] = body
			return body, true
		}
	}
	return nil, false
}

// EncodedContent returns the encoding of the newest content, if it is next.
func (hi *History) EncodedContent(next Digest) ([]byte, bool) {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	if hi.latest == nil || hi.latest.Digest != next {
		return nil, false
	}
	body, ok := hi.bodies[Digest{}]
	if !ok {
		body = Marshal(Diff(nil, hi.latest))
		hi.bodies[Digest{}] = body
	}
	return body, true
}
