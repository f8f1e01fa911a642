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

// simulation is a whole deployment with an emulated platform and several controllers in virtual time.
type simulation struct {
	t              *testing.T
	initialChanges []fleet.Change
	table          *standin.Table
	faults         *standin.Faults
	machines       *standin.Machines
	directLog      *changelog.Log // reads the table without the injected faults
	random         *rand.Rand

	mu         sync.Mutex
	busyUntil  map[acaciatally.InstanceID]time.Time // end of the requests that were in progress when the instance left service
	violations []string
	crashes    int
}

func newSimulation(t *testing.T, deployment *settings.Settings, rebootFails float64, seed uint64) *simulation {
	t.Helper()
	s := &simulation{
		t: t, initialChanges: deployment.FleetChanges(), table: standin.NewTable(), random: rand.New(rand.NewPCG(seed, seed)), busyUntil: map[acaciatally.InstanceID]time.Time{},
		machines: standin.NewMachines(standin.MachinesConfig{ListLag: 30 * time.Second, RebootTime: 20 * time.Second, RebootFailureRate: rebootFails, Seed: seed}),
	}
	s.faults = standin.NewFaults(standin.FaultsConfig{Table: s.table, List: s.machines, Control: s.machines, Seed: seed})
	s.faults.Set(standin.Switches{Delay: 4 * time.Millisecond})
	s.directLog = changelog.New(changelog.Config{Table: s.table})
	for _, pool := range deployment.Pools {
		for _, instance := range pool.Instances {
			s.machines.Add(standin.MachineConfig{ID: instance.ID, DataCentre: instance.DataCentre, Rack: instance.Rack, StartedAt: time.Now().Add(-time.Hour)})
		}
	}
	_, err := s.directLog.Commit(t.Context(), changelog.Proposal{CommandID: "load", Decide: func(*fleet.State) ([]fleet.Change, error) {
		return s.initialChanges, nil
	}})
	require.NoError(t, err)
	return s
}

// controllerProcess is the controller of one entry, which crashes or pauses at a chosen call of the platform.
type controllerProcess struct {
	*simulation
	name        string
	cancel      context.CancelFunc
	mu          sync.Mutex
	calls       int
	crashAtCall int // number of the call at which it crashes; 0 means never
	pauseAtCall int // number of the call at which it pauses for longer than the lease term
	crashed     bool
}

// runControllers runs the controllers of one entry one after another, each as a new incarnation, until ctx is done.
func (s *simulation) runControllers(ctx context.Context, name string, withFaults bool) {
	random := rand.New(rand.NewPCG(uint64(name[len(name)-1]), 7))
	time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
	for incarnation := 1; ctx.Err() == nil; incarnation++ {
		p := &controllerProcess{simulation: s, name: fmt.Sprintf("%s/%d", name, incarnation)}
		if withFaults {
			p.crashAtCall, p.pauseAtCall = 20+random.IntN(400), random.IntN(600)
		}
		var processCtx context.Context
		processCtx, p.cancel = context.WithCancel(ctx)
		_ = s.newController(p).Run(processCtx)
		p.cancel()
		time.Sleep(3 * time.Second)
	}
}

func (s *simulation) newController(p *controllerProcess) *control.Controller {
	return entry.NewControl(control.Config{
		Log:        changelog.New(changelog.Config{Table: p}),
		Lease:      changelog.NewLease(changelog.LeaseConfig{Table: p, Name: control.LeaseName, Holder: p.name}),
		Membership: s, Observer: s, List: s.faults, Instances: p, Health: s, By: p.name,
		Logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
	})
}

var errCrashed = errors.New("process crashed")

// call runs one call of the platform. A process that crashes at this call does so just before or just after the call takes effect.
func (p *controllerProcess) call(effect func() error) error {
	p.mu.Lock()
	p.calls++
	number, crashed := p.calls, p.crashed
	p.mu.Unlock()
	if crashed {
		return errCrashed
	}
	if number == p.pauseAtCall {
		time.Sleep(25 * time.Second)
	}
	crashing := p.crashAtCall > 0 && number >= p.crashAtCall
	if crashing && number%2 == 0 {
		p.crash()
		return errCrashed
	}
	err := effect()
	if crashing {
		p.crash()
		return errCrashed
	}
	return err
}

func (p *controllerProcess) crash() {
	p.mu.Lock()
	p.crashed = true
	p.mu.Unlock()
	p.simulation.mu.Lock()
	p.crashes++
	p.simulation.mu.Unlock()
	p.cancel()
}

func (p *controllerProcess) Read(ctx context.Context, keys ...string) (rows []acaciatally.Row, err error) {
	err = p.call(func() (err error) { rows, err = p.faults.Read(ctx, keys...); return err })
	return rows, err
}

func (p *controllerProcess) Scan(ctx context.Context, prefix, after string, limit int) (rows []acaciatally.Row, err error) {
	err = p.call(func() (err error) { rows, err = p.faults.Scan(ctx, prefix, after, limit); return err })
	return rows, err
}

func (p *controllerProcess) Commit(ctx context.Context, transaction acaciatally.Transaction) (version uint64, err error) {
	err = p.call(func() (err error) { version, err = p.faults.Commit(ctx, transaction); return err })
	return version, err
}

func (p *controllerProcess) Drain(ctx context.Context, operation string, instance acaciatally.InstanceID) error {
	return p.call(func() error { return p.faults.Drain(ctx, operation, instance) })
}

// Reboot records a violation if the instance is in use by an entry.
func (p *controllerProcess) Reboot(ctx context.Context, operation string, instance acaciatally.InstanceID) error {
	return p.call(func() error {
		if state, _ := p.machines.Operation(ctx, operation); state == acaciatally.OperationAbsent && !p.idle(instance) {
			p.simulation.mu.Lock()
			p.violations = append(p.violations, fmt.Sprintf("%s by %s: %s rebooted in use", operation, p.name, instance))
			p.simulation.mu.Unlock()
		}
		return p.faults.Reboot(ctx, operation, instance)
	})
}

func (p *controllerProcess) Undrain(ctx context.Context, operation string, instance acaciatally.InstanceID) error {
	return p.call(func() error { return p.faults.Undrain(ctx, operation, instance) })
}

func (p *controllerProcess) Operation(ctx context.Context, operation string) (state acaciatally.OperationState, err error) {
	err = p.call(func() (err error) { state, err = p.faults.Operation(ctx, operation); return err })
	return state, err
}

// trackBusy follows the changelog and draws, for each instance that leaves service, how long entries still have requests on it.
func (s *simulation) trackBusy(ctx context.Context) {
	for ; ctx.Err() == nil; time.Sleep(200 * time.Millisecond) {
		before := s.directLog.State()
		if s.directLog.Poll(ctx) != nil || s.directLog.State() == before {
			continue
		}
		s.mu.Lock()
		for id, instance := range s.directLog.State().Instances {
			if instance.Phase != fleet.Serving && before.Instances[id].Phase == fleet.Serving {
				s.busyUntil[id] = time.Now().Add(s.drawRemainingWork())
			}
		}
		s.mu.Unlock()
	}
}

// drawRemainingWork draws how long entries still have requests on an instance; some last longer than the delay before a repair.
func (s *simulation) drawRemainingWork() time.Duration {
	if s.random.IntN(4) == 0 {
		return 25 * time.Second
	}
	return time.Duration(500+s.random.IntN(2500)) * time.Millisecond
}

// idle reports whether the instance is out of service and no entry has requests on it.
func (s *simulation) idle(id acaciatally.InstanceID) bool {
	return s.Acknowledged(id, 0)
}

// Acknowledged reports whether the instance has reached the version, is out of service and has no requests in progress.
func (s *simulation) Acknowledged(id acaciatally.InstanceID, version uint64) bool {
	instance := s.directLog.State().Instances[id]
	s.mu.Lock()
	defer s.mu.Unlock()
	return instance.Version >= version && instance.Phase != fleet.Serving && time.Now().After(s.busyUntil[id])
}

func (s *simulation) Live() []acaciatally.Peer                   { return nil }
func (s *simulation) MayServe() bool                             { return true }
func (s *simulation) LeavingInstances() []acaciatally.InstanceID { return nil }
func (s *simulation) Demand() []acaciatally.PoolDemand           { return nil }
func (s *simulation) MayChange() bool                            { return !s.faults.Switches().Down }

// Check returns nil if the machine is up.
func (s *simulation) Check(_ context.Context, id acaciatally.InstanceID, _ netip.AddrPort) error {
	if !s.machines.Up(id) {
		return errCrashed
	}
	return nil
}

// Reports returns the reports of two entries that cannot connect to the machines that are down and succeed on the others.
func (s *simulation) Reports() (reports []acaciatally.InstanceReport) {
	for id, instance := range s.directLog.State().Instances {
		up := s.machines.Up(id)
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

// runOperator drains and undrains random instances; commits that are refused or conflict are expected.
func (s *simulation) runOperator(ctx context.Context) {
	log := changelog.New(changelog.Config{Table: s.faults})
	random := rand.New(rand.NewPCG(11, 7))
	for n := 0; ctx.Err() == nil; n++ {
		wait, choice := time.Duration(5+random.IntN(20))*time.Second, random.IntN(1<<20)
		time.Sleep(wait)
		if log.Poll(ctx) != nil {
			continue
		}
		state := log.State()
		pools := state.PoolNames()
		members := state.Members(pools[choice%len(pools)])
		if len(members) == 0 {
			continue
		}
		instance := members[choice/len(pools)%len(members)]
		phase, cause := fleet.Draining, fleet.CauseOperator
		if instance.Phase == fleet.Draining && instance.Cause == fleet.CauseOperator {
			phase, cause = fleet.Serving, fleet.CauseNone
		}
		_, _ = log.Commit(ctx, changelog.Proposal{
			CommandID: fmt.Sprintf("operator-%d", n), By: "ana",
			ExpectedVersions: []fleet.ExpectedVersion{{Kind: fleet.SubjectInstance, Name: string(instance.ID), Version: instance.Version}},
			Decide: func(*fleet.State) ([]fleet.Change, error) {
				return []fleet.Change{{SetPhase: &fleet.SetPhase{ID: instance.ID, Phase: phase, Cause: cause}}}, nil
			},
		})
	}
}

// records returns all records of the changelog.
func (s *simulation) records() (records []fleet.Record) {
	s.t.Helper()
	rows, err := s.table.Scan(context.Background(), "Changelog/Record/", "", 1<<30)
	require.NoError(s.t, err)
	for _, row := range rows {
		var record fleet.Record
		require.NoError(s.t, json.Unmarshal(row.Value, &record))
		records = append(records, record)
	}
	return records
}
