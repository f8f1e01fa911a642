package dispatch

import (
	"context"
	"time"

	"github.com/acaciatally/acaciatally"
)

// renewWhileLoading renews the leases of the workers while jobs are being loaded.
func (r *Runner) renewWhileLoading(ctx context.Context, now time.Duration) {
	for _, renewal := range r.scheduler.LoadingRenewals(now) {
		id := renewal.Worker.ID
		r.runCall(func() {
			r.renew(ctx, renewal, func(report acaciatally.WorkerReport, _ time.Duration) {
				r.scheduler.LoadingReport(id, report, r.config.Now())
			})
		})
	}
}

// renewAll renews the leases of the workers whose renewal is due.
func (r *Runner) renewAll(ctx context.Context, now time.Duration) {
	for _, renewal := range r.scheduler.Renewals(now) {
		id := renewal.Worker.ID
		r.runCall(func() {
			r.renew(ctx, renewal, func(report acaciatally.WorkerReport, sent time.Duration) {
				r.scheduler.Report(id, report, sent, r.config.Now())
			})
		})
	}
}

// renew sends a renewal and passes the answer to handle, with the time at which the renewal was sent.
func (r *Runner) renew(ctx context.Context, renewal Renewal, handle func(report acaciatally.WorkerReport, sent time.Duration)) {
	sent := r.config.Now()
	report, err := r.config.Orders.Renew(ctx, renewal.Worker, renewal.Order)
	r.Post(ctx, func() {
		if err != nil {
			r.scheduler.RenewalFailed(renewal.Worker.ID, err, r.config.Now())
			return
		}
		handle(report, sent)
	})
}
