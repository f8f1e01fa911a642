package changelog_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/changelog"
	"github.com/acaciatally/acaciatally/fleet"
	"github.com/acaciatally/acaciatally/standin"
)

// fault is the fault injected into a commit.
type fault int

const (
	noFault           fault = iota
	appliedNoResponse       // is applied, the response is lost
	droppedNoResponse       // is not applied, the response is lost
	appliedLate             // is applied after the call has failed
	unavailable             // fails with ErrUnavailable
	appliedThenDown         // is applied, the response is lost and later reads fail
)

// faultyTable delays each call and injects faults into commits.
type faultyTable struct {
	*standin.Table
	mu     sync.Mutex
	delay  time.Duration
	faults []fault
	down   bool
	calls  int // calls begun
}

func newTable(faults ...fault) *faultyTable {
	return &faultyTable{Table: standin.NewTable(), delay: time.Millisecond, faults: faults}
}

func (t *faultyTable) setDown(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = down
}

func (t *faultyTable) startCall(ctx context.Context) error {
	t.mu.Lock()
	delay, down := t.delay, t.down
	t.calls++
	t.mu.Unlock()
	select {
	case <-ctx.Done():
		return acaciatally.ErrUnavailable
	case <-time.After(delay):
	}
	if down {
		return acaciatally.ErrUnavailable
	}
	return nil
}

func (t *faultyTable) Read(ctx context.Context, keys ...string) ([]acaciatally.Row, error) {
	if err := t.startCall(ctx); err != nil {
		return nil, err
	}
	return t.Table.Read(ctx, keys...)
}

func (t *faultyTable) Scan(ctx context.Context, prefix, after string, limit int) ([]acaciatally.Row, error) {
	if err := t.startCall(ctx); err != nil {
		return nil, err
	}
	return t.Table.Scan(ctx, prefix, after, limit)
}

func (t *faultyTable) Commit(ctx context.Context, transaction acaciatally.Transaction) (uint64, error) {
	if err := t.startCall(ctx); err != nil {
		return 0, err
	}
	switch t.nextFault() {
	case appliedNoResponse:
		_, _ = t.Table.Commit(ctx, transaction)
		return 0, acaciatally.ErrUnknownCommit
	case droppedNoResponse:
		return 0, acaciatally.ErrUnknownCommit
	case appliedLate:
		time.AfterFunc(5*time.Millisecond, func() { _, _ = t.Table.Commit(context.Background(), transaction) })
		return 0, acaciatally.ErrUnknownCommit
	case unavailable:
		return 0, acaciatally.ErrUnavailable
	case appliedThenDown:
		_, _ = t.Table.Commit(ctx, transaction)
		t.setDown(true)
		return 0, acaciatally.ErrUnknownCommit
	}
	return t.Table.Commit(ctx, transaction)
}

func (t *faultyTable) nextFault() fault {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.faults) == 0 {
		return noFault
	}
	first := t.faults[0]
	t.faults = t.faults[1:]
	return first
}

// memoryObjects is an in-memory object store.
type memoryObjects struct {
	mu      sync.Mutex
	content map[string][]byte
}

func (o *memoryObjects) Put(_ context.Context, name string, content []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.content[name] = content
	return nil
}

func (o *memoryObjects) Get(_ context.Context, name string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	content, found := o.content[name]
	if !found {
		return nil, acaciatally.ErrNoObject
	}
	return content, nil
}

func (o *memoryObjects) List(context.Context, string) ([]string, error) { return nil, nil }

// putTeam proposes a team whose quota identifies the command.
func putTeam(command string, quota int) changelog.Proposal {
	return changelog.Proposal{CommandID: command, By: "operator-" + command, Decide: func(*fleet.State) ([]fleet.Change, error) {
		return []fleet.Change{{PutTeam: &fleet.Team{Name: acaciatally.TeamName("team-" + command), Quota: quota}}}, nil
	}}
}

func commitAll(t testing.TB, log *changelog.Log, from, to int) {
	t.Helper()
	for n := from; n <= to; n++ {
		version, err := log.Commit(t.Context(), putTeam(fmt.Sprint(n), n))
		require.NoError(t, err)
		require.Equal(t, uint64(n), version)
	}
}
