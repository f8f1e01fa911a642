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

// fault is what happens to one commit.
type fault int

const (
	none       fault = iota
	lost             // takes effect, the answer is lost
	dropped          // has no effect, the answer is lost
	late             // takes effect after the answer was given up
	refused          // is reported as not carried out
	thenUnread       // takes effect, the answer is lost and reads fail afterwards
)

// table delays each call and injects faults into commits.
type table struct {
	*standin.Table
	mu     sync.Mutex
	delay  time.Duration
	faults []fault
	down   bool
	reads  int
}

func newTable(faults ...fault) *table {
	return &table{Table: standin.NewTable(), delay: time.Millisecond, faults: faults}
}

func (t *table) setDown(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = down
}

func (t *table) enter(ctx context.Context) error {
	t.mu.Lock()
	delay, down := t.delay, t.down
	t.reads++
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

func (t *table) Read(ctx context.Context, keys ...string) ([]acaciatally.Row, error) {
	if err := t.enter(ctx); err != nil {
		return nil, err
	}
	return t.Table.Read(ctx, keys...)
}

func (t *table) Scan(ctx context.Context, prefix, after string, limit int) ([]acaciatally.Row, error) {
	if err := t.enter(ctx); err != nil {
		return nil, err
	}
	return t.Table.Scan(ctx, prefix, after, limit)
}

func (t *table) Commit(ctx context.Context, transaction acaciatally.Transaction) (uint64, error) {
	if err := t.enter(ctx); err != nil {
		return 0, err
	}
	switch t.next() {
	case lost:
		_, _ = t.Table.Commit(ctx, transaction)
		return 0, acaciatally.ErrUnknownCommit
	case dropped:
		return 0, acaciatally.ErrUnknownCommit
	case late:
		time.AfterFunc(5*time.Millisecond, func() { _, _ = t.Table.Commit(context.Background(), transaction) })
		return 0, acaciatally.ErrUnknownCommit
	case refused:
		return 0, acaciatally.ErrUnavailable
	case thenUnread:
		_, _ = t.Table.Commit(ctx, transaction)
		t.setDown(true)
		return 0, acaciatally.ErrUnknownCommit
	}
	return t.Table.Commit(ctx, transaction)
}

func (t *table) next() fault {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.faults) == 0 {
		return none
	}
	first := t.faults[0]
	t.faults = t.faults[1:]
	return first
}

// objects is an object store in memory.
type objects struct {
	mu      sync.Mutex
	content map[string][]byte
}

func (o *objects) Put(_ context.Context, name string, content []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.content[name] = content
	return nil
}

func (o *objects) Get(_ context.Context, name string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	content, found := o.content[name]
	if !found {
		return nil, acaciatally.ErrNoObject
	}
	return content, nil
}

func (o *objects) List(context.Context, string) ([]string, error) { return nil, nil }

// put proposes a team whose quota tells the command.
func put(command string, quota int) changelog.Proposal {
	return changelog.Proposal{CommandID: command, By: "operator-" + command, Decide: func(*fleet.State) ([]fleet.Change, error) {
		return []fleet.Change{{PutTeam: &fleet.Team{Name: acaciatally.TeamName("team-" + command), Quota: quota}}}, nil
	}}
}

func commitAll(t testing.TB, log *changelog.Log, from, to int) {
	t.Helper()
	for n := from; n <= to; n++ {
		version, err := log.Commit(t.Context(), put(fmt.Sprint(n), n))
		require.NoError(t, err)
		require.Equal(t, uint64(n), version)
	}
}
