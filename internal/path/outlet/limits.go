package outlet

// The bounds of an outlet's memory, so that callers who are many, slow or
// hostile cannot take what the whole daemon may have.
const (
	// maxRequests is how many requests are under way at once, far above what a
	// VM's callers need: 45,000 calls a second over 790 daemons, each taking
	// 0.1 s, are 6 at each.
	maxRequests = 512
	// maxBufferedBytes is how many bytes of bodies are kept for another attempt, in
	// all. Beyond it bodies are streamed, and then sent only once.
	maxBufferedBytes = 4 << 20
)
