package changelog

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"github.com/acaciatally/acaciatally"
)

const leasePrefix = "Lease/"

// LeaseConfig is what a Lease needs.
type LeaseConfig struct {
	Table acaciatally.TableService
	Clock acaciatally.Clock
	Name  string
	// Holder names this process and its incarnation, so that a process does not inherit the lease of its predecessor.
	Holder  string
	Term    time.Duration // default 10 s
	Renewal time.Duration // default 3 s
	Timeout time.Duration // bound of each call, default 2 s
}

// Lease is one process's part in a named lease; one goroutine uses it, but Holder may be called from any.
//
// No wall clocks are compared: a holder counts its term from before its last renewal began, and others take the lease only after
// they have seen the same row for a whole term.
type Lease struct {
	config    LeaseConfig
	row       leaseRow
	version   uint64 // row version of row
	held      bool
	expires   time.Time // end of this holder's term on its own clock
	seenSince time.Time // when another holder's row was first seen at version
	nextAt    time.Time
	uncertain bool // the answer of the last write was lost
	holder    atomic.Value
}

type leaseRow struct {
	Holder  string
	Epoch   uint64
	Expires time.Time // for display only
}

// Hold is the right to commit under a lease.
type Hold struct {
	Name      string
	Epoch     uint64
	Expires   time.Time
	Condition acaciatally.Condition
}

// NewLease returns a lease that is not held.
func NewLease(config LeaseConfig) *Lease {
	if config.Clock == nil {
		config.Clock = acaciatally.SystemClock{}
	}
	for _, value := range []struct {
		field    *time.Duration
		fallback time.Duration
	}{{&config.Term, 10 * time.Second}, {&config.Renewal, 3 * time.Second}, {&config.Timeout, 2 * time.Second}} {
		if *value.field == 0 {
			*value.field = value.fallback
		}
	}
	return &Lease{config: config}
}

// Hold returns the right to commit, or false when the lease is held by another process, has expired or is uncertain.
func (l *Lease) Hold() (hold Hold, held bool) {
	if !l.held || l.uncertain || !l.config.Clock.Now().Before(l.expires) {
		return Hold{}, false
	}
	return Hold{
		Name: l.config.Name, Epoch: l.row.Epoch, Expires: l.expires,
		Condition: acaciatally.Condition{Key: leasePrefix + l.config.Name, Version: l.version},
	}, true
}

// Holder returns the holder that was last seen, or the empty name.
func (l *Lease) Holder() string {
	holder, _ := l.holder.Load().(string)
	return holder
}

// Tend renews the lease, or takes it when it is free or has lapsed; it does nothing before the next renewal is due.
func (l *Lease) Tend(ctx context.Context) (err error) {
	defer func() { err = oops.In("changelog").With("lease", l.config.Name).Wrapf(err, "tend lease") }()
	now := l.config.Clock.Now()
	_, held := l.Hold()
	if now.Before(l.nextAt) && (held || !l.held) && !l.uncertain {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, l.config.Timeout)
	defer cancel()
	if !held {
		if err = l.look(ctx, now); err != nil {
			return err
		}
	}
	l.nextAt = now.Add(l.config.Renewal)
	switch {
	case l.row.Holder == l.config.Holder:
		return l.put(ctx, now, l.row.Epoch)
	case l.row.Holder == "" || now.Sub(l.seenSince) >= l.config.Term:
		return l.put(ctx, now, l.row.Epoch+1)
	}
	return nil
}

// look reads the row; a row of this holder is taken back, since no other holder has followed.
func (l *Lease) look(ctx context.Context, now time.Time) error {
	key := leasePrefix + l.config.Name
	rows, err := l.config.Table.Read(ctx, key)
	if err != nil {
		return err
	}
	row, version := leaseRow{}, uint64(0)
	if len(rows) > 0 {
		if err = json.Unmarshal(rows[0].Value, &row); err != nil {
			return err
		}
		version = rows[0].Version
	}
	if version != l.version || l.seenSince.IsZero() {
		l.seenSince = now
	}
	l.row, l.version, l.uncertain, l.held = row, version, false, false
	l.holder.Store(row.Holder)
	return nil
}

func (l *Lease) put(ctx context.Context, now time.Time, epoch uint64) error {
	row := leaseRow{Holder: l.config.Holder, Epoch: epoch, Expires: now.Add(l.config.Term).UTC()}
	return l.write(ctx, now, row)
}

func (l *Lease) write(ctx context.Context, now time.Time, row leaseRow) error {
	body, err := json.Marshal(row)
	if err != nil {
		return err
	}
	key := leasePrefix + l.config.Name
	version, err := l.config.Table.Commit(ctx, acaciatally.Transaction{
		ID:         row.Holder + "-" + now.UTC().Format(time.RFC3339Nano),
		Conditions: []acaciatally.Condition{{Key: key, Version: l.version}},
		Writes:     []acaciatally.Write{{Key: key, Value: body}},
	})
	var conflict *acaciatally.ConflictError
	if errors.As(err, &conflict) {
		l.held, l.nextAt = false, now
		return nil
	}
	if err != nil {
		l.nextAt = now
		// An unavailable service did not write, so a hold stays good until its end; any other error leaves the row unknown.
		l.uncertain = l.uncertain || !errors.Is(err, acaciatally.ErrUnavailable) || errors.Is(err, acaciatally.ErrUnknownCommit)
		return err
	}
	l.row, l.version, l.uncertain = row, version, false
	l.holder.Store(row.Holder)
	l.held, l.expires, l.seenSince = row.Holder == l.config.Holder, now.Add(l.config.Term), now
	return nil
}

// Release gives the lease up, so that another process need not wait for its end.
func (l *Lease) Release(ctx context.Context) (err error) {
	defer func() { err = oops.In("changelog").With("lease", l.config.Name).Wrapf(err, "release lease") }()
	if _, held := l.Hold(); !held {
		return nil
	}
	return l.write(ctx, l.config.Clock.Now(), leaseRow{Epoch: l.row.Epoch})
}
