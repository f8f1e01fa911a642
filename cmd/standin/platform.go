package main

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/acaciatally/acaciatally/standin"
)

const (
	readHeaderTimeout = 5 * time.Second
	shutdownTimeout   = 30 * time.Second
)

const platformExamples = `  standin platform -listen 127.0.0.1:7000
  curl -d '{"Down":true}' -H 'Content-Type: application/json' http://127.0.0.1:7000/admin/switches
  curl -d '{"Rack":"hall-a-1"}' -H 'Content-Type: application/json' http://127.0.0.1:7000/admin/fail
  curl http://127.0.0.1:7000/admin/counters
`

func runPlatform(ctx context.Context, arguments []string, errOutput io.Writer) error {
	flags := newFlags("platform", platformExamples, errOutput)
	listen := flags.String("listen", "127.0.0.1:7000", "address to listen on")
	listLag := flags.Duration("list-lag", 30*time.Second, "time by which the instance list lags behind the actual state")
	reportLag := flags.Duration("report-lag", 2*time.Second, "time by which the usage reports of tasks lag behind the actual usage")
	rebootTime := flags.Duration("reboot-time", 20*time.Second, "duration of a reboot")
	rebootFailureRate := flags.Float64("reboot-fails", 0, "share of reboots that fail, after which the instance stays down")
	seed := flags.Uint64("seed", 1, "seed of the random faults")
	if err := parse(flags, arguments); err != nil {
		return err
	}
	machines := standin.NewMachines(standin.MachinesConfig{
		ListLag: *listLag, RebootTime: *rebootTime, RebootFailureRate: *rebootFailureRate, Seed: *seed,
	})
	tasks := standin.NewTasks(standin.TasksConfig{ReportLag: *reportLag, ReportRetention: time.Hour, CheckpointTime: time.Second})
	faults := standin.NewFaults(standin.FaultsConfig{
		Table: standin.NewTable(), Objects: standin.NewObjects(), List: machines, Control: machines, Leases: tasks, Seed: *seed,
	})
	handler := standin.NewPlatformServer(standin.ServerConfig{
		Table: faults, Objects: faults, List: faults, Control: faults, Leases: faults,
		Faults: faults, Machines: machines, Tasks: tasks,
	})
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", *listen)
	if err != nil {
		return err
	}
	return serve(ctx, listener, handler, func() {})
}

// serve runs an HTTP server until ctx ends. It then calls beforeShutdown and finishes the requests in progress within shutdownTimeout.
func serve(ctx context.Context, listener net.Listener, handler http.Handler, beforeShutdown func()) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	shutdownResult := make(chan error, 1)
	go func() {
		<-ctx.Done()
		beforeShutdown()
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		shutdownResult <- server.Shutdown(shutdownCtx)
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return <-shutdownResult
}
