package cfdispatch_test

import (
	"cmp"
	"slices"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfwire"
)

// maxFormerIncarnations is as in internal/cfjobagent.
const maxFormerIncarnations = 4

// modelListedEnds are the ends that an incarnation has listed and that are not known to be recorded. See
// listedEnds in internal/cfjobagent.
type modelListedEnds struct {
	born     time.Time
	ended    []cfcore.EndedTask
	recorded uint64
}

func (a *modelAgent) findEnds(born time.Time) *modelListedEnds {
	for _, l := range a.listed {
		if l.born.Equal(born) {
			return l
		}
	}
	return nil
}

// recordEnds remembers the ends in run lists.
func (a *modelAgent) recordEnds(l *cfcore.RunLists) {
	if len(l.Ended) == 0 {
		return
	}
	i := a.findEnds(l.Born)
	if i == nil {
		i = &modelListedEnds{born: l.Born}
		a.listed = append(a.listed, i)
	}
	for _, e := range l.Ended {
		at, ok := slices.BinarySearchFunc(i.ended, e.Number, func(e cfcore.EndedTask, n uint64) int { return cmp.Compare(e.Number, n) })
		if !ok && e.Number > i.recorded {
			i.ended = slices.Insert(i.ended, at, e)
		}
	}
	former := 0
	for n := len(a.listed) - 1; n >= 0; n-- {
		i := a.listed[n]
		if i.born.Equal(a.born) {
			continue
		}
		if len(i.ended) > 0 {
			former++
		}
		if len(i.ended) == 0 || former > maxFormerIncarnations {
			a.listed = slices.Delete(a.listed, n, n+1)
		}
	}
}

// markRecorded forgets the ends up to a number of an incarnation.
func (a *modelAgent) markRecorded(born time.Time, number uint64) {
	if i := a.findEnds(born); i != nil {
		i.recorded = max(i.recorded, number)
		i.ended = slices.DeleteFunc(i.ended, func(e cfcore.EndedTask) bool { return e.Number <= number })
	}
}

// reportEnds adds the ends to a report, those of the present incarnation only if the worker does not respond.
func (a *modelAgent) reportEnds(r *cfwire.JobReport) {
	for _, i := range a.listed {
		if len(i.ended) > 0 && (!i.born.Equal(a.born) || r.Lost != nil) {
			r.ListedEnds = append(r.ListedEnds, cfwire.JobListedEnds{Born: i.born, Ended: slices.Clone(i.ended)})
		}
	}
}
