// Package limit is the admission control of an inlet. It limits how many requests a backend server
// runs at once, reserves a share of the slots for each class, and queues requests for a free slot.
// A request that cannot be served in time is refused at once instead of being queued.
package limit
