package interference

import (
	"cmp"
	"encoding/json"
	"errors"
	"math"
	"slices"
	"time"
)

const (
	// MaxRecordBytes is the size of the largest encoded Record. The strongest verdicts go in first.
	MaxRecordBytes = 4 << 10
	// weightChange and factorChange are the ratios by which the weight or the factor of a verdict must differ from the stored one for the
	// record to count as out of date.
	weightChange = 2
	factorChange = 1.25
)

// Record is the stored form of the verdicts of a leader.
type Record struct {
	Epoch    uint64        // of the leader
	At       time.Duration // on the store's clock
	Verdicts []Verdict     `json:",omitempty"`
}

// Verdict is a pair of kinds with a verdict, and the evidence behind it.
type Verdict struct {
	Victim    Kind
	Aggressor Kind
	Factor    float64 // on the victim's run time
	Weight    float64 // of the evidence at the time of the record
	Variance  float64 // of the logarithm of the victim's run time
	Samples   float64 // weighted number of the victim's runs beside the aggressor
}

// Record returns the verdicts, the strongest first.
func (d *Detector) Record(at time.Duration) (record Record) {
	record.At = at
	for _, victim := range d.kinds {
		if victim == nil {
			continue
		}
		for _, other := range victim.known {
			if p := victim.pairs[other]; p.found {
				record.Verdicts = append(record.Verdicts, Verdict{
					Victim: victim.kind, Aggressor: d.kinds[other].kind, Factor: round(math.Exp(float64(p.effect))),
					Weight: round(p.weight()), Variance: round(float64(victim.better().variance.value)), Samples: round(float64(p.beside)),
				})
			}
		}
	}
	slices.SortFunc(record.Verdicts, func(a, b Verdict) int {
		return cmp.Or(
			cmp.Compare(b.strength(), a.strength()), cmp.Compare(a.Victim.String(), b.Victim.String()),
			cmp.Compare(a.Aggressor.String(), b.Aggressor.String()),
		)
	})
	return record
}

// strength returns the number of standard errors of the effect, as far as the record tells.
func (v Verdict) strength() float64 { return math.Log(v.Factor) * math.Sqrt(v.Weight/v.Variance) }

// round keeps four digits behind the point, which keeps the record small.
func round(value float64) float64 { return math.Round(value*1e4) / 1e4 }

// Encode returns the stored form, with as many verdicts as fit into MaxRecordBytes.
func (r Record) Encode() []byte {
	for {
		content, _ := json.Marshal(r) // texts and finite numbers always encode
		if len(content) <= MaxRecordBytes || len(r.Verdicts) == 0 {
			return content
		}
		r.Verdicts = r.Verdicts[:len(r.Verdicts)-1]
	}
}

// DecodeRecord decodes the stored form.
func DecodeRecord(content []byte) (record Record, err error) {
	if err = json.Unmarshal(content, &record); err != nil {
		return Record{}, err
	}
	for _, v := range record.Verdicts {
		valid := v.Factor >= 1 && v.Factor < math.MaxFloat32 && v.Weight > 0 && v.Weight < math.MaxFloat32 && v.Variance > 0 &&
			v.Variance < math.MaxFloat32 && v.Samples >= 0 && v.Samples < math.MaxFloat32
		if !valid || v.Victim == (Kind{}) || v.Aggressor == (Kind{}) {
			return Record{}, errors.New("verdict not valid")
		}
	}
	return record, nil
}

// Differs reports whether the verdicts differ from those of a stored record so much that it is out of date.
func (r Record) Differs(stored Record) bool {
	if len(r.Verdicts) != len(stored.Verdicts) {
		return true
	}
	type pairOfKinds struct{ victim, aggressor Kind }
	known := map[pairOfKinds]Verdict{}
	for _, v := range stored.Verdicts {
		known[pairOfKinds{v.Victim, v.Aggressor}] = v
	}
	for _, v := range r.Verdicts {
		old, found := known[pairOfKinds{v.Victim, v.Aggressor}]
		if !found || changedBy(v.Weight, old.Weight, weightChange) || changedBy(v.Factor, old.Factor, factorChange) {
			return true
		}
	}
	return false
}

func changedBy(a, b, ratio float64) bool { return a >= b*ratio || b >= a*ratio }

// Merge adds the verdicts of a record to those of the detector; age is the time since the record was made. A verdict that has become too old is left out.
// The run times behind a verdict are not stored, so a merged one rests on its weight and variance alone until there is new evidence.
func (d *Detector) Merge(record Record, age, now time.Duration) {
	factor := math.Exp2(-float64(max(0, age)) / float64(halfLife))
	for _, v := range record.Verdicts {
		victim, aggressor := d.Acquire(v.Victim), d.Acquire(v.Aggressor)
		if victim != NoKind && aggressor != NoKind {
			d.merge(victim, aggressor, v, factor, now)
		}
		d.Release(victim)
		d.Release(aggressor)
	}
}

func (d *Detector) merge(victim, aggressor KindID, v Verdict, factor float64, now time.Duration) {
	k := d.kinds[victim]
	k.decay(now)
	if k.measured.variance.samples <= 1 {
		k.measured.variance = mean{value: float32(v.Variance), samples: minBaselineRuns}
	}
	p := k.pair(aggressor)
	effect := math.Log(v.Factor)
	for g := range p.groups {
		xx := v.Weight * factor / workerGroups
		p.groups[g].xx += float32(xx)
		p.groups[g].xy += float32(xx * effect)
	}
	p.beside += float32(v.Samples * factor)
	p.apart += float32(v.Samples * factor)
	if p.found {
		return
	}
	p.found = true // the weaker conditions for an existing verdict apply
	merged, holds := p.verdict(k.better().spread())
	if !holds {
		p.found = false
		return
	}
	p.effect = float32(merged)
	d.verdicts++
	d.record(victim, aggressor, p)
}
