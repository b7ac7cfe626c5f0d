package outlet

// Limits of an outlet's memory use, so that many, slow or hostile callers cannot exhaust the memory
// of the whole daemon.
const (
	// maxRequests bounds the requests in progress. It is far above what the callers of a VM need:
	// 45,000 calls a second over 790 daemons, each taking 0.1 s, are 6 at a time at each daemon.
	maxRequests = 512
	// maxBufferedBytes bounds the bytes of all bodies kept for another attempt. Beyond it, bodies
	// are streamed and can be sent only once.
	maxBufferedBytes = 4 << 20
)
