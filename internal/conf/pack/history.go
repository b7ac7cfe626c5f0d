package pack

import "sync"

// maxBases is how many contents a History keeps as bases of deltas. Peers that are further behind
// get the full content, which is not much larger than many deltas. Contents share the bodies of
// equal resources, so each takes little memory.
const maxBases = 8

// History keeps the newest contents and encodes deltas from them to the newest one, each once
// however many peers request it.
type History struct {
	mu       sync.Mutex
	contents []*Content
	latest   *Content
	deltas   map[Digest][]byte
}

// Add makes co the newest content.
func (hi *History) Add(co *Content) {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	hi.latest = co
	hi.deltas = map[Digest][]byte{}
	hi.contents = append(hi.contents, co)
	if len(hi.contents) > maxBases {
		hi.contents = append([]*Content(nil), hi.contents[len(hi.contents)-maxBases:]...)
	}
}

// EncodedDelta returns the encoded delta from the content base to the content next, if base is kept
// and next is the newest content.
func (hi *History) EncodedDelta(base, next Digest) ([]byte, bool) {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	if hi.latest == nil || hi.latest.Digest != next {
		return nil, false
	}
	if body, ok := hi.deltas[base]; ok {
		return body, true
	}
	for _, co := range hi.contents {
		if co.Digest == base {
			body := Marshal(Diff(co, hi.latest))
			hi.deltas[base] = body
			return body, true
		}
	}
	return nil, false
}

// EncodedContent returns the newest content encoded in full, if its digest is next.
func (hi *History) EncodedContent(next Digest) ([]byte, bool) {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	if hi.latest == nil || hi.latest.Digest != next {
		return nil, false
	}
	body, ok := hi.deltas[Digest{}]
	if !ok {
		body = Marshal(Diff(nil, hi.latest))
		hi.deltas[Digest{}] = body
	}
	return body, true
}
