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

// LeaseConfig is the configuration of a Lease.
type LeaseConfig struct {
	Table acaciatally.TableService
	Clock acaciatally.Clock
	Name  string
	// Holder names this process and its incarnation, so that a restarted process does not inherit the lease of the previous one.
	Holder  string
	Term    time.Duration // default 10 s
	Renewal time.Duration // default 3 s
	Timeout time.Duration // timeout of each call, default 2 s
}

// Lease acquires and renews a named lease for one process. Only Holder is safe for concurrent use.
//
// Wall clocks are never compared: a holder counts its term from the start of its last renewal, and others acquire the lease only after
// they have seen the same row for a whole term.
type Lease struct {
	config         LeaseConfig
	row            leaseRow
	version        uint64 // row version of row
	held           bool
	expires        time.Time // end of the term of this holder on its own clock
	firstSeen      time.Time // when the row was first seen at version
	nextAttempt    time.Time
	outcomeUnknown bool // the outcome of a write is unknown, so version may be out of date
	holder         atomic.Value
}

type leaseRow struct {
	Holder  string
	Epoch   uint64
	Expires time.Time // only for display
}

// HeldLease is the permission to commit under a held lease, with the condition to add to each commit.
type HeldLease struct {
	Name      string
	Epoch     uint64
	Expires   time.Time
	Condition acaciatally.Condition
}

// NewLease returns a lease that is not held yet.
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

// Held returns the permission to commit; held is false if another process holds the lease, it has expired, or the outcome of a write is
// unknown.
func (l *Lease) Held() (heldLease HeldLease, held bool) {
	if !l.held || l.outcomeUnknown || !l.config.Clock.Now().Before(l.expires) {
		return HeldLease{}, false
	}
	return HeldLease{
		Name: l.config.Name, Epoch: l.row.Epoch, Expires: l.expires,
		Condition: acaciatally.Condition{Key: leasePrefix + l.config.Name, Version: l.version},
	}, true
}

// Holder returns the last holder seen, or an empty string.
func (l *Lease) Holder() string {
	holder, _ := l.holder.Load().(string)
	return holder
}

// AcquireOrRenew renews the lease, or acquires it if it is free or has expired. It does nothing before the next renewal is due. A nil error
// does not mean that the lease is held; see Held.
func (l *Lease) AcquireOrRenew(ctx context.Context) (err error) {
	defer func() { err = oops.In("changelog").With("lease", l.config.Name).Wrapf(err, "acquire or renew lease") }()
	now := l.config.Clock.Now()
	_, held := l.Held()
	if now.Before(l.nextAttempt) && (held || !l.held) && !l.outcomeUnknown {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, l.config.Timeout)
	defer cancel()
	if !held {
		if err = l.readRow(ctx, now); err != nil {
			return err
		}
	}
	l.nextAttempt = now.Add(l.config.Renewal)
	switch {
	case l.row.Holder == l.config.Holder:
		return l.writeHeld(ctx, now, l.row.Epoch)
	case l.row.Holder == "" || now.Sub(l.firstSeen) >= l.config.Term:
		return l.writeHeld(ctx, now, l.row.Epoch+1)
	}
	return nil
}

// readRow reads the row and resets the held state. A row with this holder is renewed next, since no other process has acquired the lease.
func (l *Lease) readRow(ctx context.Context, now time.Time) error {
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
	if version != l.version || l.firstSeen.IsZero() {
		l.firstSeen = now
	}
	l.row, l.version, l.outcomeUnknown, l.held = row, version, false, false
	l.holder.Store(row.Holder)
	return nil
}

func (l *Lease) writeHeld(ctx context.Context, now time.Time, epoch uint64) error {
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
		l.held, l.nextAttempt = false, now
		return nil
	}
	if err != nil {
		l.nextAttempt = now
		// After ErrUnavailable nothing was written, so a held lease stays valid until it expires; after any other error the row is unknown.
		l.outcomeUnknown = l.outcomeUnknown || !errors.Is(err, acaciatally.ErrUnavailable) || errors.Is(err, acaciatally.ErrUnknownCommit)
		return err
	}
	l.row, l.version, l.outcomeUnknown = row, version, false
	l.holder.Store(row.Holder)
	l.held, l.expires, l.firstSeen = row.Holder == l.config.Holder, now.Add(l.config.Term), now
	return nil
}

// Release releases the lease if it is held, so that another process can acquire it without waiting for the end of the term.
func (l *Lease) Release(ctx context.Context) (err error) {
	defer func() { err = oops.In("changelog").With("lease", l.config.Name).Wrapf(err, "release lease") }()
	if _, held := l.Held(); !held {
		return nil
	}
	return l.write(ctx, l.config.Clock.Now(), leaseRow{Epoch: l.row.Epoch})
}
