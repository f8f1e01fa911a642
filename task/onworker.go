package task

import (
	"context"

	"github.com/samber/oops"

	"github.com/acaciatally/acaciatally"
)

// OnWorker returns the ids of the pool's tasks whose rows say that an attempt may be running on the worker, with one read for each
// 500 rows. An instance whose Draining phase every controller has seen gets no further tasks, so an empty answer then allows its stop.
// It fails with acaciatally.ErrUnavailable, and with another error when a row cannot be read.
func OnWorker(ctx context.Context, table acaciatally.TableService, pool acaciatally.PoolName, worker acaciatally.InstanceID) (ids []string, err error) {
	defer func() { err = oops.In("task").With("worker", worker).Wrapf(err, "look for tasks on worker") }()
	after := ""
	for {
		rows, err := table.Scan(ctx, RowKey(pool, ""), after, pageRows)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			record, err := Decode(row.Value)
			if err != nil {
				return nil, err
			}
			if record.Phase.Live() && record.Worker == worker {
				ids = append(ids, record.Spec.ID)
			}
		}
		if len(rows) < pageRows {
			return ids, nil
		}
		after = rows[len(rows)-1].Key
	}
}
