package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/changelog"
	"github.com/acaciatally/acaciatally/fleet"
	"github.com/acaciatally/acaciatally/settings"
	"github.com/acaciatally/acaciatally/standin"
)

const (
	entryCount    = 3
	workerCount   = 4
	operatorToken = "operator-token"
)

// testbed is a whole deployment in virtual time with an emulated platform and load: a pool of three workers and a spare pool of one,
// in three data centres. It collects violations of the guarantees P1 to P9 in docs/PROOFS.md.
type testbed struct {
	d         *deployment
	machines  *standin.Machines
	tasks     *standin.Tasks
	directLog *changelog.Log // reads the table without the injected faults
	endpoint  *countingEndpoint
	entries   [entryCount]entryFaults
	workers   [workerCount]testWorker

	impatient, contending atomic.Bool // callers use impatientTimeout; operators all change the same instance

	mu          sync.Mutex
	callers     []*caller
	commands    []operatorCommand
	submissions []submission
	arrivals    []arrival
	violations  []string
}

// arrival is a request that reached a worker. checkLeaving compares it with the changelog, which shows whether the worker was leaving.
type arrival struct {
	id acaciatally.InstanceID
	at time.Time
}

func (b *testbed) recordArrival(id acaciatally.InstanceID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrivals = append(b.arrivals, arrival{id: id, at: time.Now()})
}

// entryFaults is the state of the faults of an entry. The numbers count the active faults of a kind.
type entryFaults struct {
	platform                          *standin.Faults
	down, slow, losingAnswers, frozen int
	killed, wasFrozen                 bool
	version                           uint64 // highest configuration version seen in the entry
}

type testWorker struct {
	testbed    *testbed
	id         acaciatally.InstanceID
	failing    atomic.Bool
	inProgress atomic.Int64
	dead       bool
}

func newTestbed(t *testing.T) *testbed {
	b := &testbed{
		machines: standin.NewMachines(standin.MachinesConfig{ListLag: 30 * time.Second, RebootTime: 3 * time.Second, Seed: 1}),
		tasks:    standin.NewTasks(standin.TasksConfig{ReportLag: time.Second}), endpoint: &countingEndpoint{runsByRequest: map[string]int{}, runsByCall: map[string]int{}},
	}
	b.d = prepareDeployment(t, entryCount, workerCount, func(i int) http.Handler { return &b.workers[i] })
	b.directLog = changelog.New(changelog.Config{Table: b.d.table})
	b.configure(b.d.settings)
	b.d.customize = b.giveOwnPlatform
	b.d.startEntries()
	for i := range b.entries {
		b.applyFaults(&b.entries[i])
	}
	return b
}

func (b *testbed) configure(deployment *settings.Settings) {
	instances := deployment.Pools[0].Instances
	centres := []acaciatally.DataCentre{"hall-a", "hall-b", "annex", "hall-a"}
	for i := range instances {
		instance := &instances[i]
		instance.DataCentre, instance.Rack = centres[i], acaciatally.Rack(fmt.Sprint("rack-", i))
		instance.Processors, instance.Memory = 4, settings.Size(1<<30)
		b.workers[i].testbed, b.workers[i].id = b, instance.ID
		b.machines.Add(standin.MachineConfig{
			ID: instance.ID, Address: instance.Address, DataCentre: instance.DataCentre, Rack: instance.Rack, StartedAt: time.Now().Add(-time.Hour),
		})
		b.tasks.AddWorker(instance.ID, acaciatally.Resources{Processors: instance.Processors, Memory: int64(instance.Memory)})
	}
	deployment.Pools = []settings.Pool{
		{Name: "coating", MaxUnavailable: 1, MinAvailable: 1, Instances: instances[:3]},
		{Name: "backoffice", Spare: true, Instances: instances[3:]},
	}
	deployment.Operators = []settings.Operator{{Name: "ana", Token: operatorToken}}
}

// giveOwnPlatform gives an entry its own access to the platform, so that faults can affect a single entry.
func (b *testbed) giveOwnPlatform(i int, config *Config) {
	platform := standin.NewFaults(standin.FaultsConfig{
		Table: b.d.table, List: b.machines, Control: recordingControl{InstanceControl: b.machines, testbed: b}, Leases: b.tasks, Seed: uint64(i) + 1,
	})
	b.entries[i].platform = platform
	config.Table, config.List, config.Instances, config.Tasks = platform, platform, platform, platform
}

// recordingControl records a violation for each reboot of a worker in use.
type recordingControl struct {
	acaciatally.InstanceControl
	testbed *testbed
}

// Reboot records a violation if the instance has requests in progress.
func (c recordingControl) Reboot(ctx context.Context, operation string, id acaciatally.InstanceID) error {
	if state, _ := c.Operation(ctx, operation); state == acaciatally.OperationAbsent {
		for i := range c.testbed.workers {
			if worker := &c.testbed.workers[i]; worker.id == id && worker.inProgress.Load() > 0 {
				c.testbed.addViolation("P7: %s is rebooted with %d requests in progress", id, worker.inProgress.Load())
			}
		}
	}
	return c.InstanceControl.Reboot(ctx, operation, id)
}

func (b *testbed) addViolation(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.violations = append(b.violations, fmt.Sprintf(format, args...))
}

func (w *testWorker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	w.inProgress.Add(1)
	defer w.inProgress.Add(-1)
	w.testbed.recordArrival(w.id)
	if w.failing.Load() {
		_, _ = io.Copy(io.Discard, request.Body)
		w.testbed.endpoint.begin(request)
		w.testbed.endpoint.end()
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.testbed.endpoint.ServeHTTP(writer, request)
}

// countFault adds delta to the counts of a platform fault in the entries that it affects.
func (b *testbed) countFault(one fault, delta int) {
	for i := range b.entries {
		entry := &b.entries[i]
		switch one.Kind {
		case platformDown:
			entry.down += delta
		case platformSlow:
			entry.slow += delta
		case answersLost:
			entry.losingAnswers += delta
		case platformCut:
			if i == one.Target%len(b.entries) {
				entry.down += delta
			}
		case entryFrozen:
			if i == one.Target%len(b.entries) {
				entry.frozen += delta
			}
		}
		b.applyFaults(entry)
	}
}

// applyFaults sets the faults of an entry's platform access. The calls of a frozen entry take effect after it has been resumed.
func (b *testbed) applyFaults(entry *entryFaults) {
	switches := standin.Switches{Down: entry.down > 0 || entry.killed, Delay: 4 * time.Millisecond, LateCommits: true}
	if entry.slow > 0 {
		switches.Delay = 800 * time.Millisecond
	}
	if entry.frozen > 0 {
		switches.Delay = 2 * faultsEnd
	}
	if entry.losingAnswers > 0 {
		switches.LossShare = 0.3
	}
	entry.platform.Set(switches)
}

// killEntry kills an entry unless it is the last live one.
func (b *testbed) killEntry(i int) {
	if alive := b.liveEntries(); len(alive) > 1 {
		b.d.hosts[i].kill()
		b.entries[i].killed = true
	}
}

func (b *testbed) liveEntries() (alive []int) {
	for i := range b.entries {
		if !b.entries[i].killed {
			alive = append(alive, i)
		}
	}
	return alive
}

// killWorker kills a worker unless two workers are dead already.
func (b *testbed) killWorker(i int) {
	dead := 0
	for n := range b.workers {
		if b.workers[n].dead {
			dead++
		}
	}
	if dead > 1 || b.workers[i].dead {
		return
	}
	b.workers[i].dead = true
	b.d.workers[i].kill()
	b.machines.Kill(b.workers[i].id)
	b.tasks.Crash(b.workers[i].id)
}

func (b *testbed) blockEntries(i, delta int) {
	other := (i + 1) % len(b.entries)
	b.d.hosts[i].addBlock(address(peerPorts, other).String(), delta)
	b.d.hosts[other].addBlock(address(peerPorts, i).String(), delta)
}

func (b *testbed) startWave(id string) {
	go func() {
		_, err := b.directLog.Commit(context.Background(), changelog.Proposal{CommandID: id, By: "ana", Decide: func(*fleet.State) ([]fleet.Change, error) {
			return []fleet.Change{{PutWave: &fleet.Wave{ID: id, State: fleet.WaveRunning, Started: time.Now().UTC()}}}, nil
		}})
		require.NoError(b.d.t, err)
	}()
}
