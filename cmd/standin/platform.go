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

func runPlatform(ctx context.Context, arguments []string, messages io.Writer) error {
	flags := newFlags("platform", platformExamples, messages)
	listen := flags.String("listen", "127.0.0.1:7000", "address to listen on")
	listLag := flags.Duration("list-lag", 30*time.Second, "age of what the instance list shows")
	reportLag := flags.Duration("report-lag", 2*time.Second, "age of the usage reports of tasks")
	rebootTime := flags.Duration("reboot-time", 20*time.Second, "time a reboot takes")
	rebootFails := flags.Float64("reboot-fails", 0, "share of reboots after which the machine stays dead")
	seed := flags.Uint64("seed", 1, "seed of random faults")
	if err := parse(flags, arguments); err != nil {
		return err
	}
	machines := standin.NewMachines(standin.MachinesConfig{
		ListLag: *listLag, RebootTime: *rebootTime, RebootFails: *rebootFails, Seed: *seed,
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

// serve answers until ctx ends, calls leave and finishes the requests in progress.
func serve(ctx context.Context, listener net.Listener, handler http.Handler, leave func()) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	stopped := make(chan error, 1)
	go func() {
		<-ctx.Done()
		leave()
		finish, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		stopped <- server.Shutdown(finish)
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return <-stopped
}
