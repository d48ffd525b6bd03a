package cfjobagent

import (
	"cmp"
	"slices"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfwire"
)

const (
	// maxFormerIncarnations bounds the number of former incarnations whose ends the agent keeps.
	maxFormerIncarnations = 4
	// maxFormerEnds bounds the number of ends of former incarnations that the agent keeps.
	maxFormerEnds = 2000
)

// listedEnds are the ends that the worker has listed and that are not known to be recorded, also those of
// former incarnations. An end that was listed counts as taken note of, although the worker is possibly gone
// before the planner learns of the end.
type listedEnds struct {
	// incarnations are in the order in which they first listed ends.
	incarnations []*incarnationEnds
}

// incarnationEnds are the ends of one incarnation, by number.
type incarnationEnds struct {
	born      time.Time
	ended     []cfcore.EndedTask
	recorded  uint64
	lacksEnds bool
}

func (e *listedEnds) find(born time.Time) *incarnationEnds {
	for _, i := range e.incarnations {
		if i.born.Equal(born) {
			return i
		}
	}
	return nil
}

// add remembers the ends in run lists, also in lists that are outdated otherwise. present is the start time
// of the present incarnation. add returns the number of ends that are dropped since there are too many.
func (e *listedEnds) add(l *cfcore.RunLists, present time.Time) int {
	if len(l.Ended) == 0 && !l.LacksEnds {
		return 0
	}
	i := e.find(l.Born)
	if i == nil {
		i = &incarnationEnds{born: l.Born}
		e.incarnations = append(e.incarnations, i)
	}
	i.lacksEnds = l.LacksEnds
	for _, end := range l.Ended {
		if end.Number <= i.recorded {
			continue
		}
		if at, ok := slices.BinarySearchFunc(i.ended, end.Number, byNumber); !ok {
			i.ended = slices.Insert(i.ended, at, end)
		}
	}
	return e.dropOldest(present)
}

func byNumber(e cfcore.EndedTask, number uint64) int { return cmp.Compare(e.Number, number) }

// dropOldest drops the oldest former incarnations beyond the bounds. It returns the number of their ends.
func (e *listedEnds) dropOldest(present time.Time) int {
	dropped, kept, ends := 0, 0, 0
	for n := len(e.incarnations) - 1; n >= 0; n-- {
		i := e.incarnations[n]
		if i.born.Equal(present) {
			continue
		}
		if len(i.ended) > 0 {
			kept++
		}
		if ends += len(i.ended); len(i.ended) == 0 || kept > maxFormerIncarnations || ends > maxFormerEnds {
			dropped += len(i.ended)
			e.incarnations = slices.Delete(e.incarnations, n, n+1)
		}
	}
	return dropped
}

// markRecorded forgets the ends up to a number of an incarnation.
func (e *listedEnds) markRecorded(born time.Time, number uint64) {
	i := e.find(born)
	if i == nil {
		return
	}
	i.recorded = max(i.recorded, number)
	i.ended = slices.DeleteFunc(i.ended, func(end cfcore.EndedTask) bool { return end.Number <= number })
}

// addTo adds the ends to a report, those of the present incarnation only if withPresent is set.
func (e *listedEnds) addTo(r *cfwire.JobReport, present time.Time, withPresent bool) {
	for _, i := range e.incarnations {
		isPresent := i.born.Equal(present)
		if len(i.ended) == 0 || isPresent && !withPresent {
			continue
		}
		// What a former incarnation has not listed is lost.
		r.ListedEnds = append(r.ListedEnds, cfwire.JobListedEnds{Born: i.born, Ended: slices.Clone(i.ended), LacksEnds: isPresent && i.lacksEnds})
	}
}

// recordEnds remembers the ends that the worker has listed.
func (c *control) recordEnds(l *cfcore.RunLists) {
	recorded := uint64(0)
	if i := c.listed.find(l.Born); i != nil {
		recorded = i.recorded
	}
	c.endTimes.add(l, recorded, c.bootClock.Now())
	if n := c.listed.add(l, c.worker.Born); n > 0 {
		c.Log.Error().Int("Ends", n).Msg("listed ends of a former incarnation of the worker dropped before they were recorded: there are too many")
		c.Scope.Counter("listed_ends_dropped").Inc(int64(n))
	}
}
