package interference

import (
	"strconv"

	"github.com/acaciatally/acaciatally"
)

// MaxKinds is the number of kinds that a Detector knows at a time. The least recently used one is replaced.
const MaxKinds = 96

// Kind identifies a kind of tasks: the image of the step if it has one, else its queue and number.
type Kind struct {
	Image string                `json:",omitempty"`
	Queue acaciatally.QueueName `json:",omitempty"`
	Step  int                   `json:",omitempty"`
}

// KindOf returns the kind of the tasks of a step.
func KindOf(queue acaciatally.QueueName, number int, step *acaciatally.Step) Kind {
	if step.Image != "" {
		return Kind{Image: step.Image}
	}
	return Kind{Queue: queue, Step: number}
}

// String formats the kind for logs.
func (k Kind) String() string {
	if k.Image != "" {
		return k.Image
	}
	return string(k.Queue) + "/" + strconv.Itoa(k.Step)
}

// KindID is the number of a kind within one Detector, from 0 to MaxKinds-1.
type KindID int16

// NoKind is the ID of kinds that the Detector does not track.
const NoKind KindID = -1

// Find returns the ID of a kind, or NoKind if it is not known.
func (d *Detector) Find(kind Kind) KindID {
	if id, found := d.ids[kind]; found {
		return id
	}
	return NoKind
}

// Acquire returns the ID of a kind, which stays valid until Release is called as often as Acquire. It returns NoKind if all IDs are in use.
func (d *Detector) Acquire(kind Kind) KindID {
	id, found := d.ids[kind]
	if !found {
		if id = d.freeID(); id == NoKind {
			return NoKind
		}
		d.ids[kind] = id
		d.kinds[id] = newKindState(kind)
	}
	d.uses++
	d.kinds[id].usedAt = d.uses
	d.kinds[id].references++
	return id
}

// Retain makes a valid ID stay valid until Release is called once more.
func (d *Detector) Retain(id KindID) { d.kinds[id].references++ }

// Release gives up an ID that Acquire or Retain was called for.
func (d *Detector) Release(id KindID) {
	if id != NoKind {
		d.kinds[id].references--
	}
}

// freeID returns an unused ID. If there is none, it removes the least recently used kind without references.
func (d *Detector) freeID() KindID {
	oldest := NoKind
	for id, k := range d.kinds {
		if k == nil {
			return KindID(id)
		}
		if k.references == 0 && (oldest == NoKind || k.usedAt < d.kinds[oldest].usedAt) {
			oldest = KindID(id)
		}
	}
	if oldest != NoKind {
		d.removeKind(oldest)
	}
	return oldest
}

// removeKind removes a kind with all evidence about it.
func (d *Detector) removeKind(removed KindID) {
	for id, victim := range d.kinds {
		if victim == nil {
			continue
		}
		if p := victim.pairs[removed]; p != nil {
			d.drop(KindID(id), removed, p)
			victim.removePair(removed)
		}
	}
	for _, aggressor := range d.kinds[removed].known {
		d.drop(removed, aggressor, d.kinds[removed].pairs[aggressor])
	}
	delete(d.ids, d.kinds[removed].kind)
	d.kinds[removed] = nil
}

// References returns how often Acquire and Retain were called for a kind without Release.
func (d *Detector) References(kind Kind) int {
	if id := d.Find(kind); id != NoKind {
		return d.kinds[id].references
	}
	return 0
}
