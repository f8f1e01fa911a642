package standin

import (
	"context"

	"github.com/acaciatally/acaciatally"
)

// Read reads rows with injected faults.
func (f *Faults) Read(ctx context.Context, keys ...string) (rows []acaciatally.Row, err error) {
	err = f.call(ctx, false, func() (err error) {
		rows, err = f.config.Table.Read(ctx, keys...)
		f.countRowsRead(rows)
		return err
	})
	return rowsUnlessError(rows, err), err
}

// Scan reads a range of rows with injected faults.
func (f *Faults) Scan(ctx context.Context, prefix, after string, limit int) (rows []acaciatally.Row, err error) {
	err = f.call(ctx, false, func() (err error) {
		rows, err = f.config.Table.Scan(ctx, prefix, after, limit)
		f.countRowsRead(rows)
		return err
	})
	return rowsUnlessError(rows, err), err
}

func rowsUnlessError(rows []acaciatally.Row, err error) []acaciatally.Row {
	if err != nil {
		return nil
	}
	return rows
}

// Commit commits with injected faults; it fails with ErrUnknownCommit if the context ends during the delay.
func (f *Faults) Commit(ctx context.Context, transaction acaciatally.Transaction) (version uint64, err error) {
	selected := f.selectFaults(true)
	if err = f.waitBefore(ctx, selected, true); err != nil {
		return 0, f.abortCommit(ctx, selected, transaction, err)
	}
	version, err = f.config.Table.Commit(ctx, transaction)
	if err != nil {
		return 0, err
	}
	f.countRowsWritten(transaction.Writes)
	if sleep(ctx, selected.delay-selected.delay/2) != nil || selected.responseLost || f.takeLostResponse() {
		return 0, acaciatally.ErrUnknownCommit
	}
	return version, nil
}

// abortCommit returns the error of a commit that waitBefore failed with err, and schedules it for late execution if LateCommits is set.
func (f *Faults) abortCommit(ctx context.Context, selected callFaults, transaction acaciatally.Transaction, err error) error {
	if selected.down || ctx.Err() == nil {
		if selected.requestLost {
			return acaciatally.ErrUnknownCommit
		}
		return err
	}
	if selected.lateCommit {
		go f.commitLate(context.WithoutCancel(ctx), selected, transaction)
	}
	return acaciatally.ErrUnknownCommit
}

// commitLate executes a commit after its caller has stopped waiting, as happens to a request that is already in flight.
func (f *Faults) commitLate(ctx context.Context, selected callFaults, transaction acaciatally.Transaction) {
	_ = sleep(ctx, selected.delay)
	if _, err := f.config.Table.Commit(ctx, transaction); err == nil {
		f.countRowsWritten(transaction.Writes)
	}
}
