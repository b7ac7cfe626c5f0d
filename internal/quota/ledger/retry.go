package ledger

import (
	"math"
	"time"
)

// usualWindow is the time over which the rate of requests that come anyway is averaged: longer than a
// short burst, whose refused callers find requests to spare after it.
const usualWindow = 5 * time.Second

// returnPart is the part of what is to spare that returning callers are told of. The rest makes up for
// refusals that are counted late in a rising flood.
const returnPart = 0.7

// addUsual adds requests that came to the usual demand. demandAt is still that of earlier ones.
func (ac *account) addUsual(offered int64, now time.Time) {
	ac.usual = ac.usualRate(now) + float64(max(0, offered))/usualWindow.Seconds()
}

func (ac *account) usualRate(now time.Time) float64 {
	return ac.usual * math.Exp(-float64(now.Sub(ac.demandAt))/float64(usualWindow))
}

// retryTime returns when those who are refused until the next call should retry: in what time there
// will be requests to admit beside those that come anyway, and over what time these will suffice. It
// follows those who were refused since the last call. rate is that of the limit, refused that of
// refusals.
func (ac *account) retryTime(rate, demand, refused float64, now time.Time) (after, spread time.Duration) {
	usual := min(demand, ac.usualRate(now))
	spare := rate - usual
	count := float64(max(0, ac.refused))
	ac.refused = 0
	if spare <= 0 {
		// As long as more comes than the limit, a caller who returns would take the place of another.
		return maxRetryAfter, maxRetryAfter
	}
	needed := func(callers float64) time.Duration {
		return time.Duration(min(callers/(returnPart*spare), maxRetryAfter.Seconds()) * float64(time.Second))
	}
	// The estimate of the demand approaches the usual one exponentially, even if no more than that
	// comes from now on, and so does the level approach zero. Nobody is refused once neither takes
	// more than what is to spare.
	from := now.Add(decayTime(demand-usual, spare, demandWindow) + decayTime(-ac.level/settleTime.Seconds(), spare, settleTime))
	if next := ac.retriesFrom.Add(needed(count)); next.After(from) {
		from = next
	}
	ac.retriesFrom = from
	after = min(max(from.Sub(now), minRetryAfter), maxRetryAfter)
	return after, max(needed(refused*ReportInterval.Seconds()), minRetryAfter/2)
}

// decayTime returns how long an exponential decay from one value to another takes, 0 if there is none.
func decayTime(from, to float64, scale time.Duration) time.Duration {
	if from <= to {
		return 0
	}
	return time.Duration(min(math.Log(from/to)*float64(scale), float64(maxRetryAfter)))
}
