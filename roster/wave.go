package roster

import (
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/capacity"
	"github.com/acaciatally/acaciatally/dispatch"
	"github.com/acaciatally/acaciatally/maintenance"
)

// wave is the progress of a maintenance wave.
type wave struct {
	request          acaciatally.MaintenanceWave
	seenAt           time.Duration
	finished         map[acaciatally.InstanceID]bool
	progressStored   bool // the finished instances are stored
	completionStored bool // the completion is stored
}

// AddWave adds a wave that was first seen at the given time, with the progress that earlier leaders stored. A known wave stays unchanged.
func (r *Roster) AddWave(request acaciatally.MaintenanceWave, seen time.Duration, stored WaveRecord) {
	if r.waves[request.Number] != nil {
		return
	}
	w := &wave{
		request: request, seenAt: seen, finished: map[acaciatally.InstanceID]bool{}, progressStored: true, completionStored: stored.Completed,
	}
	for _, id := range stored.Finished {
		w.finished[id] = true
	}
	r.waves[request.Number] = w
	for _, id := range stored.Begun {
		if !w.finished[id] {
			r.inheritMaintenance(id, request.Number, seen)
		}
	}
}

// inheritMaintenance continues the maintenance that an earlier leader has begun. Its order may still be executed, so the instance counts as down
// until an order of this leader has a result, which fences off the earlier one.
func (r *Roster) inheritMaintenance(id acaciatally.InstanceID, number int, now time.Duration) {
	if op := r.operations[id]; op != nil && op.ordered {
		return // the order of this leader has fenced off the earlier one
	}
	r.addOperation(id, &operation{purpose: purposeMaintenance, wave: number, plannedAt: now, recorded: true, inherited: true, outcomeUnknown: true})
}

// HasWave reports whether the wave was added.
func (r *Roster) HasWave(number int) bool { return r.waves[number] != nil }

// planWaves starts the maintenance of the next instances of each wave.
func (r *Roster) planWaves(pools []capacity.Pool, workers map[acaciatally.WorkerID]dispatch.WorkerView, now time.Duration) {
	spare := r.spare(pools)
	planner := maintenance.Config{PerInstance: drainTime + r.config.MaintenanceTime + listDelay}
	for number, w := range r.waves {
		if w.completionStored {
			continue
		}
		view := r.waveView(w, pools, workers, spare, now)
		for _, id := range planner.Next(view) {
			r.addOperation(id, &operation{purpose: purposeMaintenance, wave: number, plannedAt: now})
		}
	}
}

// dueWorkers returns the workers whose instances still need maintenance in a wave.
func (r *Roster) dueWorkers() map[acaciatally.WorkerID]bool {
	due := map[acaciatally.WorkerID]bool{}
	for _, w := range r.waves {
		if w.completionStored {
			continue
		}
		for _, id := range w.request.Instances {
			if worker := r.instances[id].Worker; worker != "" && !w.finished[id] {
				due[worker] = true
			}
		}
	}
	return due
}

func (r *Roster) waveView(
	w *wave, pools []capacity.Pool, workers map[acaciatally.WorkerID]dispatch.WorkerView,
	spare map[acaciatally.PoolName]int, now time.Duration,
) maintenance.Wave {
	standby := map[acaciatally.PoolName]bool{}
	for _, pool := range pools {
		standby[pool.Name] = pool.Standby
	}
	view := maintenance.Wave{Number: w.request.Number, MaxDown: w.request.MaxConcurrent, Remaining: w.seenAt + w.request.Duration - now}
	for _, id := range w.request.Instances {
		instance, exists := r.instances[id]
		op, reserved := r.operations[id]
		member := maintenance.Instance{
			ID: id, Pool: instance.Pool, Up: instance.State == acaciatally.InstanceUp, Standby: standby[instance.Pool],
			Runs: workers[instance.Worker].Runs, LongRunning: workers[instance.Worker].LongRunning, Spare: spare[instance.Pool] > 0,
		}
		switch {
		case reserved && op.purpose == purposeMaintenance && (op.done || op.outcomeUnknown):
			member.Phase = maintenance.Down
		case reserved && op.purpose == purposeMaintenance:
			member.Phase = maintenance.Draining
		case instance.State == acaciatally.InstanceMaintenance: // ordered by an earlier leader that may not have stored it
			member.Phase = maintenance.Down
		case w.finished[id]:
			member.Phase = maintenance.Finished
		case !exists:
			member.Phase = maintenance.Missing
		default:
			member.Reserved = reserved
		}
		view.Instances = append(view.Instances, member)
	}
	return view
}

func (w *wave) remaining() (count int) {
	for _, id := range w.request.Instances {
		if !w.finished[id] {
			count++
		}
	}
	return count
}

// WaveRecord is the stored progress of a wave.
type WaveRecord struct {
	Number    int
	Begun     []acaciatally.InstanceID // their maintenance may have been ordered and is not known to be finished
	Finished  []acaciatally.InstanceID
	Completed bool
}

// UnsavedWaves returns the progress of the waves whose stored record is out of date.
func (r *Roster) UnsavedWaves() (records []WaveRecord) {
	for number, w := range r.waves {
		completed := r.listed && r.complete(w)
		begun, recorded := r.begun(number)
		if recorded && w.progressStored && (w.completionStored || !completed) {
			continue
		}
		record := WaveRecord{Number: number, Begun: begun, Completed: completed}
		for id := range w.finished {
			record.Finished = append(record.Finished, id)
		}
		records = append(records, record)
	}
	return records
}

// begun returns the instances whose maintenance in a wave is planned and not done, and whether the stored record of the wave names all of them.
func (r *Roster) begun(number int) (list []acaciatally.InstanceID, recorded bool) {
	recorded = true
	for id, op := range r.operations {
		if op.purpose == purposeMaintenance && op.wave == number && !op.done {
			list = append(list, id)
			recorded = recorded && op.recorded
		}
	}
	return list, recorded
}

// complete reports whether the maintenance of all instances of the wave that still exist is finished.
func (r *Roster) complete(w *wave) bool {
	for _, id := range w.request.Instances {
		if _, exists := r.instances[id]; exists && !w.finished[id] {
			return false
		}
	}
	return true
}

// WaveSaved marks a record as stored.
func (r *Roster) WaveSaved(record WaveRecord) {
	w := r.waves[record.Number]
	if w == nil {
		return
	}
	for _, id := range record.Begun {
		if op := r.operations[id]; op != nil && op.purpose == purposeMaintenance && op.wave == record.Number {
			op.recorded = true
		}
	}
	w.progressStored = len(w.finished) == len(record.Finished)
	if record.Completed && !w.completionStored {
		w.completionStored = true
		r.config.EventLog.WaveChanged(record.Number, 0, true)
	}
}
