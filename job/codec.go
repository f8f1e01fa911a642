package job

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/samber/oops"
	"google.golang.org/protobuf/proto"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job/jobpb"
)

// progressFormat is the version of the stored form of Progress.
const progressFormat = 1

// EncodeProgress returns the stored form of a job's progress. A job is recorded several times while it runs, so the form is compact: each
// worker's ID is stored once.
func EncodeProgress(progress Progress) (content []byte, err error) {
	defer func() { err = oops.In("job").Wrapf(err, "encode progress") }()
	message := &jobpb.Progress{
		Format: progressFormat, State: string(progress.State), Next: uint32(progress.Next), Digest: progress.Digest,
		Account: string(progress.Account),
	}
	workers := workerIndex{message: message, indices: map[incarnation]uint32{}}
	for _, open := range progress.Open {
		occurrence := &jobpb.Occurrence{Number: uint32(open.Number)}
		for _, tasks := range open.Steps {
			step := &jobpb.Step{Tasks: make([]*jobpb.Task, 0, len(tasks))}
			for _, task := range tasks {
				step.Tasks = append(step.Tasks, &jobpb.Task{
					Phase: uint32(task.Phase), Attempt: uint32(task.Attempt), Worker: workers.indexOf(task),
					Failures: uint32(task.Failures), Checkpoint: task.Checkpoint, Crashes: uint32(task.Crashes),
					UnconfirmedCrashes: uint32(task.UnconfirmedCrashes), CrashStreak: uint32(task.CrashStreak), LongLease: task.LongLease,
				})
			}
			occurrence.Steps = append(occurrence.Steps, step)
		}
		message.Open = append(message.Open, occurrence)
	}
	return proto.Marshal(message)
}

// EncodeProgressWithin returns the stored form of a job's progress, without some of the checkpoints if it would be larger than maxBytes; 0
// is unlimited. A task without its checkpoint may have to repeat work.
func EncodeProgressWithin(progress Progress, maxBytes int) (content []byte, err error) {
	content, err = EncodeProgress(progress)
	if err != nil || maxBytes <= 0 || len(content) <= maxBytes {
		return content, err
	}
	return EncodeProgress(progress.withoutCheckpoints(len(content) - maxBytes))
}

// withoutCheckpoints returns a copy of the progress without as many checkpoints as take the given number of bytes. Those of tasks that have a
// run are left out first, because their workers report them.
func (p Progress) withoutCheckpoints(excess int) Progress {
	p.Open = slices.Clone(p.Open)
	for i := range p.Open {
		p.Open[i].Steps = slices.Clone(p.Open[i].Steps)
		for step, tasks := range p.Open[i].Steps {
			p.Open[i].Steps[step] = slices.Clone(tasks)
		}
	}
	for _, phase := range []Phase{Assigned, Waiting, Done} {
		for i := range p.Open {
			for _, tasks := range p.Open[i].Steps {
				excess = dropCheckpoints(tasks, phase, excess)
			}
		}
	}
	return p
}

// dropCheckpoints drops the checkpoints of tasks in a phase until the given number of bytes is saved, and returns how many are left to save.
func dropCheckpoints(tasks []Task, phase Phase, excess int) (left int) {
	for i := range tasks {
		if excess > 0 && tasks[i].Phase == phase {
			excess -= len(tasks[i].Checkpoint)
			tasks[i].Checkpoint = ""
		}
	}
	return excess
}

// incarnation identifies one incarnation of a worker.
type incarnation struct {
	worker  acaciatally.WorkerID
	startMS int64 // 0 if it is not known
}

// workerIndex assigns the indices by which tasks refer to the incarnations of workers.
type workerIndex struct {
	message *jobpb.Progress
	indices map[incarnation]uint32
}

// indexOf returns the index of the task's worker plus 1, or 0 without a worker.
func (w *workerIndex) indexOf(task Task) uint32 {
	if task.Worker == "" {
		return 0
	}
	run := incarnation{worker: task.Worker}
	if !task.WorkerStart.IsZero() {
		run.startMS = task.WorkerStart.UnixMilli()
	}
	if index, known := w.indices[run]; known {
		return index
	}
	w.message.Workers = append(w.message.Workers, string(run.worker))
	w.message.WorkerStarts = append(w.message.WorkerStarts, run.startMS)
	w.indices[run] = uint32(len(w.message.Workers))
	return w.indices[run]
}

// DecodeProgress decodes the stored form of a job's progress, also the JSON form of earlier releases.
func DecodeProgress(content []byte) (progress Progress, err error) {
	defer func() { err = oops.In("job").Wrapf(err, "decode progress") }()
	if len(content) > 0 && content[0] == '{' {
		err = json.Unmarshal(content, &progress)
		return progress, err
	}
	message := &jobpb.Progress{}
	if err = proto.Unmarshal(content, message); err != nil {
		return progress, err
	}
	if message.GetFormat() != progressFormat {
		return progress, fmt.Errorf("unknown format %d", message.GetFormat())
	}
	progress = Progress{
		State: acaciatally.JobState(message.GetState()), Next: int(message.GetNext()), Digest: message.GetDigest(),
		Account: acaciatally.AccountName(message.GetAccount()),
	}
	for _, open := range message.GetOpen() {
		occurrence := Occurrence{Number: int(open.GetNumber())}
		for _, step := range open.GetSteps() {
			tasks, err := decodeTasks(step, message)
			if err != nil {
				return Progress{}, err
			}
			occurrence.Steps = append(occurrence.Steps, tasks)
		}
		progress.Open = append(progress.Open, occurrence)
	}
	return progress, nil
}

func decodeTasks(step *jobpb.Step, message *jobpb.Progress) (tasks []Task, err error) {
	workers, starts := message.GetWorkers(), message.GetWorkerStarts()
	tasks = make([]Task, 0, len(step.GetTasks()))
	for _, stored := range step.GetTasks() {
		task := Task{
			Phase: Phase(stored.GetPhase()), Attempt: int(stored.GetAttempt()), Failures: int(stored.GetFailures()), Checkpoint: stored.GetCheckpoint(),
			Crashes: int(stored.GetCrashes()), UnconfirmedCrashes: int(stored.GetUnconfirmedCrashes()),
			CrashStreak: int(stored.GetCrashStreak()), LongLease: stored.GetLongLease(),
		}
		index := int(stored.GetWorker())
		if index > len(workers) {
			return nil, fmt.Errorf("worker %d of %d", index, len(workers))
		}
		if index > 0 {
			task.Worker = acaciatally.WorkerID(workers[index-1])
		}
		if index > 0 && index <= len(starts) && starts[index-1] != 0 { // records of earlier releases have no starts
			task.WorkerStart = time.UnixMilli(starts[index-1]).UTC()
		}
		tasks = append(tasks, task)
	}
	return tasks, nil
}
