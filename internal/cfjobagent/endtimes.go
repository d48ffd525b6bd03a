package cfjobagent

import (
	"time"

	"cranberryford/pkg/cfcore"
)

// maxEndTimes bounds the ends whose times of listing are kept.
const maxEndTimes = 4000

// lateRecord is the time from the listing of an end until its record after which a line is logged. Ends count 100 ms
// after they were listed.
const lateRecord = time.Second

// endKey identifies an end in all incarnations of the worker.
type endKey struct {
	born   int64
	number uint64
}

// endTimes holds when ends were first listed that the planner has not recorded yet.
type endTimes map[endKey]time.Duration

// add remembers the ends in run lists that are above the last recorded one.
func (t endTimes) add(l *cfcore.RunLists, recorded uint64, now time.Duration) {
	if len(t) > maxEndTimes {
		clear(t)
	}
	for _, e := range l.Ended {
		k := endKey{l.Born.UnixMilli(), e.Number}
		if _, ok := t[k]; !ok && e.Number > recorded {
			t[k] = now
		}
	}
}

// take removes the ends up to a number of an incarnation, and returns how long ago they were listed.
func (t endTimes) take(born time.Time, number uint64, now time.Duration) []time.Duration {
	var out []time.Duration
	for k, at := range t {
		if k.born == born.UnixMilli() && k.number <= number {
			out = append(out, now-at)
			delete(t, k)
		}
	}
	return out
}

// markRecorded handles that the planner has recorded the ends up to a number of an incarnation.
func (c *control) markRecorded(born time.Time, number uint64) {
	c.listed.markRecorded(born, number)
	longest := time.Duration(0)
	for _, d := range c.endTimes.take(born, number, c.bootClock.Now()) {
		c.Scope.Timer("end_recorded").Record(d)
		longest = max(longest, d)
	}
	if longest > lateRecord {
		c.Log.Warn().Dur("After", longest).Uint64("Epoch", uint64(c.epoch)).Msg("ends were recorded late: the planner or the store lags")
	}
}
