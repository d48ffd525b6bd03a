package cfinterference

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// HeadroomModel estimates how much headroom latency-critical tasks lose to best-effort
// tasks on the same worker (called neighbours), for each pair of images.
//
// Headroom is the tail latency target divided by the tail latency. The model assumes that
// headroom falls linearly with the share of the worker's CPU that neighbours use. The reason
// is that the tail latency of a server grows as 1/(1-u) with its utilization u. The model
// learns the headroom without neighbours jointly for all tasks of a job, because they see
// the same load. If a task has less headroom than that, the difference is attributed to its
// neighbours, in proportion to their CPU shares (a normalized least mean squares filter).
type HeadroomModel struct {
	// pairs holds the learned effects of best-effort tasks on latency-critical tasks, in the
	// unit of Effect. jobs is indexed by job ID.
	pairs map[Pair]float64
	jobs  map[string]jobHeadroom
	// effectSum is the sum of the effects in pairs. leftOut are those that an earlier model has
	// learned and that are not in pairs.
	effectSum float64
	leftOut   LeftOutEffects
}

// jobHeadroom is the headroom that remains for the tasks of a job under the job's own load.
type jobHeadroom struct {
	// alone is the headroom that the job's tasks would have without neighbours, as
	// estimated at the time updatedAt.
	alone     float64
	updatedAt time.Time
	// low is the lowest recent value of alone. It returns to alone with the time constant
	// lowDecay.
	low float64
}

// Filter constants. The prediction error is the predicted minus the reported headroom. The
// predictions are not sensitive to the exact values of the constants: with half or twice
// the values, nearly the same tasks are predicted to exceed their target.
const (
	// effectGain determines how much one report corrects the effects of its pairs. With the
	// corrected effects, the prediction error is smaller by the fraction
	// effectGain * s/(s+shareNormOffset), where s is the sum of the squared CPU shares. This
	// is nearly effectGain if s is much larger than shareNormOffset. It is less if s is small.
	effectGain = 0.1
	// aloneGain is the fraction of the prediction error that one report of a task without
	// neighbours corrects in the headroom of its job.
	aloneGain = 0.3
	// neighbourDamping reduces aloneGain for a task with neighbours: aloneGain is divided by
	// 1 + neighbourDamping*lost, where lost is the headroom that the task is estimated to lose
	// to its neighbours. The estimate of a job's headroom without neighbours therefore depends
	// mainly on the job's tasks without neighbours, of which a job has a few. If all tasks of
	// a job have neighbours of unknown effect, their loss is mainly attributed to the pairs.
	neighbourDamping = 40.0
	// lowDecay is the time constant with which jobHeadroom.low returns to
	// jobHeadroom.alone. It is several times the duration of a best-effort task, so that low
	// is still below alone some time after a peak of the load. If the load oscillates,
	// AboveRecentLow therefore anticipates how far the headroom falls until the next peak.
	lowDecay = 15 * time.Second
	// shareNormOffset limits how much a report with small CPU shares changes the effects. The
	// change of a pair's effect is proportional to the pair's CPU share, divided by the sum of
	// the squared CPU shares of all pairs in the report plus shareNormOffset. Without the
	// offset, small shares would cause large changes.
	shareNormOffset = 0.02
	// priorEffect is what Effect returns for a pair without reports while no effect is known. It
	// counts as much as priorWeightEffect learned effects. maxEffect is the maximum of a learned
	// effect.
	priorEffect       = 0.5
	priorWeightEffect = 3.0
	maxEffect         = 20.0
	// saturatedHeadroom is a headroom so low that it no longer tells how much more is lost: a tail
	// latency grows only until the worker's queues are full.
	saturatedHeadroom = 0.2
)

// CPUShare is the fraction of a worker's CPU that best-effort tasks of one image use.
type CPUShare struct {
	Image    string
	Fraction float64
}

// NewHeadroomModel returns a HeadroomModel without learned effects.
func NewHeadroomModel() *HeadroomModel {
	return &HeadroomModel{pairs: map[Pair]float64{}, jobs: map[string]jobHeadroom{}}
}

// Effect returns the effect of best-effort tasks on latency-critical tasks, given the
// images of both. The effect is the headroom that a latency-critical task would lose if the
// best-effort tasks used the whole CPU of its worker. For a pair without reports it is the mean
// of the known effects.
func (m *HeadroomModel) Effect(image, bestEffortImage string) float64 {
	if e, ok := m.pairs[Pair{image, bestEffortImage}]; ok {
		return e
	}
	return m.meanEffect()
}

// meanEffect returns the mean of the learned effects and of priorEffect, which has the weight
// priorWeightEffect.
func (m *HeadroomModel) meanEffect() float64 {
	sum := priorEffect*priorWeightEffect + m.effectSum + float64(m.leftOut.Sum)/effectUnit
	return sum / (priorWeightEffect + float64(len(m.pairs)+m.leftOut.Count))
}

// setEffect sets the learned effect of a pair, within its limits.
func (m *HeadroomModel) setEffect(k Pair, e float64) {
	e = min(max(0, e), maxEffect)
	m.effectSum += e - m.pairs[k]
	m.pairs[k] = e
}

// Observe updates the estimates with a report on a latency-critical task. job is the ID of
// the task's job, image is the task's image, and headroom is the task's reported headroom.
// shares are the CPU shares of the best-effort tasks on the same worker. now is when the
// report arrived.
func (m *HeadroomModel) Observe(now time.Time, job, image string, headroom float64, shares []CPUShare) {
	lost, norm := 0.0, shareNormOffset
	for _, s := range shares {
		lost += m.Effect(image, s.Image) * s.Fraction
		norm += s.Fraction * s.Fraction
	}
	h, ok := m.jobs[job]
	if !ok {
		h = jobHeadroom{alone: headroom + lost, low: headroom + lost, updatedAt: now}
	}
	predictionError := h.alone - lost - headroom
	if headroom < saturatedHeadroom {
		// The task has lost at least as much as reported.
		predictionError = max(0, predictionError)
	}
	for _, s := range shares {
		m.adjustEffect(Pair{image, s.Image}, effectGain*predictionError*s.Fraction/norm)
	}
	h.alone -= predictionError * aloneGain / (1 + neighbourDamping*lost)
	h.low += (h.alone - h.low) * min(1, float64(now.Sub(h.updatedAt))/float64(lowDecay))
	h.low, h.updatedAt = min(h.low, h.alone), now
	m.jobs[job] = h
}

// AboveRecentLow returns how far the estimated headroom of a job's tasks without neighbours
// is above the recent low of this headroom. The result is 0 for an unknown job.
func (m *HeadroomModel) AboveRecentLow(job string) float64 {
	h := m.jobs[job]
	return h.alone - h.low
}

// adjustEffect adds delta to the effect of a pair. It ignores a new pair if the model
// already has maxPairs.
func (m *HeadroomModel) adjustEffect(k Pair, delta float64) {
	e, ok := m.pairs[k]
	switch {
	case !ok && len(m.pairs) >= maxPairs:
		return
	case !ok:
		e = m.meanEffect()
	}
	m.setEffect(k, e+delta)
}

// ForgetJob drops the estimated headroom of a job. It keeps the effects of pairs.
func (m *HeadroomModel) ForgetJob(job string) { delete(m.jobs, job) }

// LearnedEffects is the serializable form of the effects that a HeadroomModel has learned.
type LearnedEffects struct {
	Images []string
	Pairs  []LearnedEffect
	// LeftOut are the effects that are not in Pairs, see KeepStrongest.
	LeftOut LeftOutEffects `cbor:",omitzero"`
}

// LeftOutEffects are effects of which only the mean is known.
type LeftOutEffects struct {
	Count int
	// Sum is the sum of the effects in thousandths.
	Sum int
}

// LearnedEffect is the effect of one pair. Service and Filler are indexes into
// LearnedEffects.Images: Service is that of the latency-critical task's image, Filler that
// of the best-effort task's image.
type LearnedEffect struct {
	_       struct{} `cbor:",toarray"`
	Service int
	Filler  int
	// Effect is the learned effect in thousandths.
	Effect int
}

// effectUnit is the value of LearnedEffect.Effect for an effect of 1.
const effectUnit = 1000

// Learned returns the learned effects, ordered by the names of the images.
func (m *HeadroomModel) Learned() *LearnedEffects {
	out := &LearnedEffects{LeftOut: m.leftOut}
	indexes := map[string]int{}
	index := func(image string) int {
		i, ok := indexes[image]
		if !ok {
			i = len(out.Images)
			indexes[image] = i
			out.Images = append(out.Images, image)
		}
		return i
	}
	keys := make([]Pair, 0, len(m.pairs))
	for k := range m.pairs {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b Pair) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Batch, b.Batch))
	})
	for _, k := range keys {
		out.Pairs = append(out.Pairs, LearnedEffect{
			Service: index(k.Service), Filler: index(k.Batch), Effect: int(math.Round(m.pairs[k] * effectUnit)),
		})
	}
	return out
}

// KeepStrongest leaves out all but the n effects that differ most from the effect of an unknown
// pair.
func (l *LearnedEffects) KeepStrongest(n int) {
	sum := priorEffect*priorWeightEffect*effectUnit + float64(l.LeftOut.Sum)
	for _, e := range l.Pairs {
		sum += float64(e.Effect)
	}
	unknown := sum / (priorWeightEffect + float64(len(l.Pairs)+l.LeftOut.Count))
	strength := func(e LearnedEffect) float64 { return math.Abs(float64(e.Effect) - unknown) }
	kept := slices.Clone(l.Pairs)
	slices.SortStableFunc(kept, func(a, b LearnedEffect) int { return cmp.Compare(strength(b), strength(a)) })
	n = min(n, len(kept))
	for _, e := range kept[n:] {
		l.LeftOut.Count++
		l.LeftOut.Sum += e.Effect
	}
	kept = kept[:n]
	indexes, images := map[int]int{}, []string(nil)
	index := func(old int) int {
		i, ok := indexes[old]
		if !ok {
			i = len(images)
			indexes[old] = i
			images = append(images, l.Images[old])
		}
		return i
	}
	for i, e := range kept {
		kept[i].Service, kept[i].Filler = index(e.Service), index(e.Filler)
	}
	l.Pairs, l.Images = kept, images
}

// Restore loads the effects that an earlier HeadroomModel has learned. It skips pairs with
// invalid indexes, clamps effects that are out of range, and stops at maxPairs.
func (m *HeadroomModel) Restore(l *LearnedEffects) {
	if l.LeftOut.Count >= 0 && l.LeftOut.Sum >= 0 && l.LeftOut.Sum <= l.LeftOut.Count*maxEffect*effectUnit {
		m.leftOut = l.LeftOut
	}
	for _, k := range l.Pairs {
		if k.Service < 0 || k.Service >= len(l.Images) || k.Filler < 0 || k.Filler >= len(l.Images) || len(m.pairs) >= maxPairs {
			continue
		}
		m.setEffect(Pair{l.Images[k.Service], l.Images[k.Filler]}, float64(k.Effect)/effectUnit)
	}
}
