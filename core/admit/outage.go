package admit

import "gypsumcrank/core/clock"

// Limits of the wait for a store that does not respond.
const (
	// maxStoreWait is the longest wait of one call; callers who are refused come back
	// after about as long.
	maxStoreWait = 400 * clock.Millisecond
	// storeWaitDivisor limits the wait to a part of the caller's remaining time, so that
	// a caller who is refused can still try elsewhere several times.
	storeWaitDivisor = 6
	// longOutage is the length from which an outage counts as long: the longer one has
	// lasted, the less likely it ends within one wait.
	longOutage = 10 * clock.Second
)

// StoreWait returns how long a call waits for a store that has not responded for the
// given time, before it is refused. Remaining is what is left of the caller's time.
//
// It answers a short outage: refused at once, all callers come back at times of their
// own, on average half a second after the store is back, and are late for it.
func StoreWait(outage, remaining clock.Millis) clock.Millis {
	if outage >= longOutage || remaining <= 0 {
		return 0
	}
	return min(maxStoreWait, remaining/storeWaitDivisor)
}
