package entry_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/changelog"
	"github.com/acaciatally/acaciatally/control"
	"github.com/acaciatally/acaciatally/entry"
	"github.com/acaciatally/acaciatally/fleet"
	"github.com/acaciatally/acaciatally/settings"
	"github.com/acaciatally/acaciatally/standin"
)

// world is a whole deployment with its platform and several controllers on virtual time.
type world struct {
	t        *testing.T
	genesis  []fleet.Change
	table    *standin.Table
	faults   *standin.Faults
	machines *standin.Machines
	truth    *changelog.Log // reads the table past all faults
	random   *rand.Rand

	mu         sync.Mutex
	busyUntil  map[acaciatally.InstanceID]time.Time // end of the work in progress when the instance left service
	violations []string
	deaths     int
}

func newWorld(t *testing.T, deployment *settings.Settings, rebootFails float64, seed uint64) *world {
	t.Helper()
	w := &world{
		t: t, genesis: deployment.Changes(), table: standin.NewTable(), random: rand.New(rand.NewPCG(seed, seed)), busyUntil: map[acaciatally.InstanceID]time.Time{},
		machines: standin.NewMachines(standin.MachinesConfig{ListLag: 30 * time.Second, RebootTime: 20 * time.Second, RebootFails: rebootFails, Seed: seed}),
	}
	w.faults = standin.NewFaults(standin.FaultsConfig{Table: w.table, List: w.machines, Control: w.machines, Seed: seed})
	w.faults.Set(standin.Switches{Delay: 4 * time.Millisecond})
	w.truth = changelog.New(changelog.Config{Table: w.table})
	for _, pool := range deployment.Pools {
		for _, instance := range pool.Instances {
			w.machines.Add(standin.MachineConfig{ID: instance.ID, DataCentre: instance.DataCentre, Rack: instance.Rack, Since: time.Now().Add(-time.Hour)})
		}
	}
	_, err := w.truth.Commit(t.Context(), changelog.Proposal{CommandID: "load", Decide: func(*fleet.State) ([]fleet.Change, error) {
		return w.genesis, nil
	}})
	require.NoError(t, err)
	return w
}

// process is one entry's controller, which dies or pauses at a chosen call of the platform.
type process struct {
	*world
	name   string
	cancel context.CancelFunc
	mu     sync.Mutex
	calls  int
	fatal  int // number of the call at which it dies; 0 lives on
	pause  int // number of the call at which it pauses for longer than the lease term
	dead   bool
}

// run starts controllers one after another under the same entry's name until ctx ends.
func (w *world) run(ctx context.Context, name string, mortal bool) {
	random := rand.New(rand.NewPCG(uint64(name[len(name)-1]), 7))
	time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
	for incarnation := 1; ctx.Err() == nil; incarnation++ {
		p := &process{world: w, name: fmt.Sprintf("%s/%d", name, incarnation)}
		if mortal {
			p.fatal, p.pause = 20+random.IntN(400), random.IntN(600)
		}
		var alive context.Context
		alive, p.cancel = context.WithCancel(ctx)
		_ = w.controller(p).Run(alive)
		p.cancel()
		time.Sleep(3 * time.Second)
	}
}

func (w *world) controller(p *process) *control.Controller {
	return entry.NewControl(control.Config{
		Log:        changelog.New(changelog.Config{Table: p}),
		Lease:      changelog.NewLease(changelog.LeaseConfig{Table: p, Name: control.LeaseName, Holder: p.name}),
		Membership: w, Observer: w, List: w.faults, Instances: p, Health: w, By: p.name,
		Logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
	})
}

var errDead = errors.New("process is dead")

// call runs one call of the platform; a dying process dies just before or just after its effect.
func (p *process) call(effect func() error) error {
	p.mu.Lock()
	p.calls++
	number, dead := p.calls, p.dead
	p.mu.Unlock()
	if dead {
		return errDead
	}
	if number == p.pause {
		time.Sleep(25 * time.Second)
	}
	dying := p.fatal > 0 && number >= p.fatal
	if dying && number%2 == 0 {
		p.die()
		return errDead
	}
	err := effect()
	if dying {
		p.die()
		return errDead
	}
	return err
}

func (p *process) die() {
	p.mu.Lock()
	p.dead = true
	p.mu.Unlock()
	p.world.mu.Lock()
	p.deaths++
	p.world.mu.Unlock()
	p.cancel()
}

func (p *process) Read(ctx context.Context, keys ...string) (rows []acaciatally.Row, err error) {
	err = p.call(func() (err error) { rows, err = p.faults.Read(ctx, keys...); return err })
	return rows, err
}

func (p *process) Scan(ctx context.Context, prefix, after string, limit int) (rows []acaciatally.Row, err error) {
	err = p.call(func() (err error) { rows, err = p.faults.Scan(ctx, prefix, after, limit); return err })
	return rows, err
}

func (p *process) Commit(ctx context.Context, transaction acaciatally.Transaction) (version uint64, err error) {
	err = p.call(func() (err error) { version, err = p.faults.Commit(ctx, transaction); return err })
	return version, err
}

func (p *process) Drain(ctx context.Context, operation string, instance acaciatally.InstanceID) error {
	return p.call(func() error { return p.faults.Drain(ctx, operation, instance) })
}

// Reboot records a violation when the instance is in use by an entry.
func (p *process) Reboot(ctx context.Context, operation string, instance acaciatally.InstanceID) error {
	return p.call(func() error {
		if state, _ := p.machines.Operation(ctx, operation); state == acaciatally.OperationAbsent && !p.idle(instance) {
			p.world.mu.Lock()
			p.violations = append(p.violations, fmt.Sprintf("%s by %s: %s rebooted in use", operation, p.name, instance))
			p.world.mu.Unlock()
		}
		return p.faults.Reboot(ctx, operation, instance)
	})
}

func (p *process) Undrain(ctx context.Context, operation string, instance acaciatally.InstanceID) error {
	return p.call(func() error { return p.faults.Undrain(ctx, operation, instance) })
}

func (p *process) Operation(ctx context.Context, operation string) (state acaciatally.OperationState, err error) {
	err = p.call(func() (err error) { state, err = p.faults.Operation(ctx, operation); return err })
	return state, err
}

// follow notes when instances leave service; the entries then still work on them for a while.
func (w *world) follow(ctx context.Context) {
	for ; ctx.Err() == nil; time.Sleep(200 * time.Millisecond) {
		before := w.truth.State()
		if w.truth.Poll(ctx) != nil || w.truth.State() == before {
			continue
		}
		w.mu.Lock()
		for id, instance := range w.truth.State().Instances {
			if instance.Phase != fleet.Serving && before.Instances[id].Phase == fleet.Serving {
				w.busyUntil[id] = time.Now().Add(w.workLeft())
			}
		}
		w.mu.Unlock()
	}
}

// workLeft draws how long entries still work on an instance; some requests outlast the delay of a repair.
func (w *world) workLeft() time.Duration {
	if w.random.IntN(4) == 0 {
		return 25 * time.Second
	}
	return time.Duration(500+w.random.IntN(2500)) * time.Millisecond
}

// idle reports whether the instance is out of service and no entry works on it.
func (w *world) idle(id acaciatally.InstanceID) bool {
	return w.Acknowledged(id, 0)
}

// Acknowledged reports whether the entries know the version and have no work in progress on the instance.
func (w *world) Acknowledged(id acaciatally.InstanceID, version uint64) bool {
	instance := w.truth.State().Instances[id]
	w.mu.Lock()
	defer w.mu.Unlock()
	return instance.Version >= version && instance.Phase != fleet.Serving && time.Now().After(w.busyUntil[id])
}

func (w *world) Live() []acaciatally.Peer          { return nil }
func (w *world) MayServe() bool                    { return true }
func (w *world) Leaving() []acaciatally.InstanceID { return nil }
func (w *world) Demand() []acaciatally.PoolDemand  { return nil }
func (w *world) Fresh() bool                       { return !w.faults.Switches().Down }

// Check reports a machine as healthy when it is up.
func (w *world) Check(_ context.Context, id acaciatally.InstanceID, _ netip.AddrPort) error {
	if !w.machines.Up(id) {
		return errDead
	}
	return nil
}

// Reports lets two entries fail to connect to each dead machine and succeed on the others.
func (w *world) Reports() (reports []acaciatally.InstanceReport) {
	for id, instance := range w.truth.State().Instances {
		up := w.machines.Up(id)
		for _, name := range []acaciatally.EntryID{"entry-1", "entry-2"} {
			report := acaciatally.InstanceReport{Entry: name, Instance: instance.ID, At: time.Now(), Connected: 3, Succeeded: 3}
			if !up {
				report.Connected, report.Succeeded, report.Unreachable = 0, 0, 3
			}
			reports = append(reports, report)
		}
	}
	return reports
}

// operators drain and undrain instances at random; refusals and races are part of it.
func (w *world) operators(ctx context.Context) {
	log := changelog.New(changelog.Config{Table: w.faults})
	random := rand.New(rand.NewPCG(11, 7))
	for n := 0; ctx.Err() == nil; n++ {
		wait, pick := time.Duration(5+random.IntN(20))*time.Second, random.IntN(1<<20)
		time.Sleep(wait)
		if log.Poll(ctx) != nil {
			continue
		}
		state := log.State()
		pools := state.PoolNames()
		members := state.Members(pools[pick%len(pools)])
		if len(members) == 0 {
			continue
		}
		instance := members[pick/len(pools)%len(members)]
		phase, cause := fleet.Draining, fleet.CauseOperator
		if instance.Phase == fleet.Draining && instance.Cause == fleet.CauseOperator {
			phase, cause = fleet.Serving, fleet.CauseNone
		}
		_, _ = log.Commit(ctx, changelog.Proposal{
			CommandID: fmt.Sprintf("operator-%d", n), By: "ana",
			Seen: []fleet.Seen{{Kind: fleet.SubjectInstance, Name: string(instance.ID), Version: instance.Version}},
			Decide: func(*fleet.State) ([]fleet.Change, error) {
				return []fleet.Change{{SetPhase: &fleet.SetPhase{ID: instance.ID, Phase: phase, Cause: cause}}}, nil
			},
		})
	}
}

// records returns the whole log.
func (w *world) records() (records []fleet.Record) {
	w.t.Helper()
	rows, err := w.table.Scan(context.Background(), "Changelog/Record/", "", 1<<30)
	require.NoError(w.t, err)
	for _, row := range rows {
		var record fleet.Record
		require.NoError(w.t, json.Unmarshal(row.Value, &record))
		records = append(records, record)
	}
	return records
}
