package cfdispatch

import (
	"cmp"
	"slices"
	"time"

	"cranberryford/pkg/cfharm"
)

// gaugeDelay is the age of a run from which on its gauge covers the half second that
// the platform takes it over.
const gaugeDelay = 600 * time.Millisecond

// headroom is the target of a task that serves over its tail: less than 1 where the
// tail is over its target. Zero where there is no tail yet.
func (r *run) headroom() float64 {
	if r.gauge <= 0 {
		return 0
	}
	return float64(r.task.step.TailTarget) / float64(r.tail())
}

// wish is the share of a worker's processor time that a task that fills would use.
func (t *task) wish(w *worker) float64 { return w.share(t.step.Resources.MilliCores) }

// part is the share of the worker's processor time that a filler uses.
func (r *run) part() float64 { return r.w.share(int64(max(r.gauge, 0))) }

// learnPressure learns from a worker's lists what its fillers do to its tails.
func (p *Planner) learnPressure(now time.Time, w *worker) {
	serving, fillers := w.sides()
	parts := map[string]float64{}
	for _, f := range fillers {
		parts[f.task.step.Image] += f.part()
	}
	shares := make([]cfharm.Share, 0, len(parts))
	for image, part := range parts {
		shares = append(shares, cfharm.Share{Image: image, Part: part})
	}
	slices.SortFunc(shares, func(a, b cfharm.Share) int { return cmp.Compare(a.Image, b.Image) })
	for _, r := range serving {
		if h := r.headroom(); h > 0 && now.Sub(r.begun) >= gaugeDelay {
			p.pressure.Observe(now, r.task.j.ID, r.task.step.Image, h, shares)
		}
	}
}

// safeHeadroom is the headroom below which a task counts as in part over its target:
// loads swing while a filler runs.
const safeHeadroom = 1.6

// swingShare is the part of the way down to its lowest headroom of late that a task which
// serves is taken to go while a filler runs beside it.
const swingShare = 0.5

// over is how far a task with a headroom counts as over its target, from 0 to 1.
func over(headroom float64) float64 { return min(max(0, safeHeadroom-headroom), 1) }

// harm is the number of tasks that a filler is expected to bring over their targets.
func (p *Planner) harm(now time.Time, t *task, w *worker) float64 {
	if w.serving == 0 {
		return 0
	}
	var young []*run
	for f := range w.runs {
		if f.task.step.Filler && now.Sub(f.begun) < gaugeDelay {
			young = append(young, f)
		}
	}
	var costs []imageCost
	sum := 0.0
	for r := range w.runs {
		if !r.task.serves() || r.gauge <= 0 {
			continue
		}
		var c imageCost
		costs, c = p.imageCost(costs, r.task.step.Image, t, w, young)
		h := r.headroom() - c.unseen - swingShare*p.pressure.Swing(r.task.j.ID)
		sum += over(h-c.filler) - over(h)
	}
	return sum
}

// imageCost is the headroom that tasks of an image lose.
type imageCost struct {
	image string
	// unseen is what fillers will take which are too young to be seen, and filler what the
	// one to be placed will take.
	unseen float64
	filler float64
}

// imageCost returns the cost for an image, and the costs with it. A worker has many tasks
// of few images.
func (p *Planner) imageCost(costs []imageCost, image string, t *task, w *worker, young []*run) ([]imageCost, imageCost) {
	for _, c := range costs {
		if c.image == image {
			return costs, c
		}
	}
	c := imageCost{image: image, filler: p.pressure.Effect(image, t.step.Image) * t.wish(w)}
	for _, f := range young {
		c.unseen += p.pressure.Effect(image, f.task.step.Image) * f.task.wish(w)
	}
	return append(costs, c), c
}
