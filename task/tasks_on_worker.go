package task

import (
	"context"

	"github.com/samber/oops"

	"github.com/acaciatally/acaciatally"
)

// TasksOnWorker returns the IDs of the pool's tasks that may be running on the worker according to their rows; it reads the rows page by page.
// Once every controller has seen that an instance is draining, it gets no further tasks, so an empty result then means that it can be
// stopped. It fails with acaciatally.ErrUnavailable, or with another error when a row cannot be decoded.
func TasksOnWorker(ctx context.Context, table acaciatally.TableService, pool acaciatally.PoolName, worker acaciatally.InstanceID) (ids []string, err error) {
	defer func() { err = oops.In("task").With("worker", worker).Wrapf(err, "look for tasks on worker") }()
	after := ""
	for {
		rows, err := table.Scan(ctx, RowKey(pool, ""), after, rowPageSize)
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
		if len(rows) < rowPageSize {
			return ids, nil
		}
		after = rows[len(rows)-1].Key
	}
}
