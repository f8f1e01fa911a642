package standin

import (
	"context"

	"github.com/acaciatally/acaciatally"
)

// Read reads rows through the faults.
func (f *Faults) Read(ctx context.Context, keys ...string) (rows []acaciatally.Row, err error) {
	err = f.call(ctx, false, func() (err error) {
		rows, err = f.config.Table.Read(ctx, keys...)
		f.countRead(rows)
		return err
	})
	return keep(rows, err), err
}

// Scan reads a range of rows through the faults.
func (f *Faults) Scan(ctx context.Context, prefix, after string, limit int) (rows []acaciatally.Row, err error) {
	err = f.call(ctx, false, func() (err error) {
		rows, err = f.config.Table.Scan(ctx, prefix, after, limit)
		f.countRead(rows)
		return err
	})
	return keep(rows, err), err
}

func keep(rows []acaciatally.Row, err error) []acaciatally.Row {
	if err != nil {
		return nil
	}
	return rows
}

// Commit commits through the faults; a caller that gives up during the delay cannot know the outcome.
func (f *Faults) Commit(ctx context.Context, transaction acaciatally.Transaction) (version uint64, err error) {
	p := f.plan(true)
	if err = f.before(ctx, p, true); err != nil {
		return 0, f.gaveUp(ctx, p, transaction, err)
	}
	version, err = f.config.Table.Commit(ctx, transaction)
	if err != nil {
		return 0, err
	}
	f.countWritten(transaction.Writes)
	if sleep(ctx, p.delay-p.delay/2) != nil || p.lostAfter || f.loseAnswer() {
		return 0, acaciatally.ErrUnknownCommit
	}
	return version, nil
}

func (f *Faults) gaveUp(ctx context.Context, p plan, transaction acaciatally.Transaction, err error) error {
	if p.down || ctx.Err() == nil {
		if p.lostBefore {
			return acaciatally.ErrUnknownCommit
		}
		return err
	}
	if p.late {
		go f.commitLate(context.WithoutCancel(ctx), p, transaction)
	}
	return acaciatally.ErrUnknownCommit
}

// commitLate carries out a commit whose caller no longer waits, as a request in flight would be.
func (f *Faults) commitLate(ctx context.Context, p plan, transaction acaciatally.Transaction) {
	_ = sleep(ctx, p.delay)
	if _, err := f.config.Table.Commit(ctx, transaction); err == nil {
		f.countWritten(transaction.Writes)
	}
}
