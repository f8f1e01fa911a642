package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/standin"
)

const workerExamples = `  standin worker -id coating-1 -listen 127.0.0.1:7401
  standin worker -id coating-1 -listen 127.0.0.1:7401 -platform 127.0.0.1:7000 -data-centre hall-a -rack hall-a-1
  curl -d Mode=Hang http://127.0.0.1:7401/standin/mode
  curl -i http://127.0.0.1:7401/standin/health
`

const registerTimeout = 5 * time.Second

func runWorker(ctx context.Context, arguments []string, messages io.Writer) error {
	flags := newFlags("worker", workerExamples, messages)
	listen := flags.String("listen", "", "address to listen on")
	id := flags.String("id", "", "instance id")
	slots := flags.Int64("slots", 8, "requests served at once")
	connections := flags.Int("connections", 64, "connections held open at once")
	serviceTime := flags.Duration("service-time", 20*time.Millisecond, "mean time a request takes")
	spread := flags.Float64("spread", 0, "standard deviation of the logarithm of the service time")
	mode := flags.String("mode", "", "FastErrors, Slow, TruncatedAnswer, OversizedAnswer or Hang")
	platformAddress := flags.String("platform", "", "platform to register at")
	dataCentre := flags.String("data-centre", "", "data centre to register")
	rack := flags.String("rack", "", "rack to register")
	processors := flags.Float64("processors", 64, "cores to register")
	memory := flags.Int64("memory", 256<<30, "bytes of memory to register")
	leaveTime := flags.Duration("leave-time", standin.LeaveTime, "time between reporting itself leaving and closing")
	if err := parse(flags, arguments); err != nil {
		return err
	}
	address, err := netip.ParseAddrPort(*listen)
	if err != nil || *id == "" {
		return fmt.Errorf("%w: -id and -listen ADDRESS:PORT are required", errUsage)
	}
	worker := standin.NewWorker(standin.WorkerConfig{
		ID: acaciatally.InstanceID(*id), Slots: *slots, ServiceTime: *serviceTime, Spread: *spread,
	})
	worker.SetMode(standin.Mode(*mode))
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", *listen)
	if err != nil {
		return err
	}
	if *platformAddress != "" {
		if err = register(ctx, *platformAddress, standin.MachineRegistration{
			ID: acaciatally.InstanceID(*id), Address: address, DataCentre: acaciatally.DataCentre(*dataCentre),
			Rack: acaciatally.Rack(*rack), Resources: acaciatally.Resources{Processors: *processors, Memory: *memory},
		}); err != nil {
			return err
		}
	}
	return serve(ctx, standin.LimitConnections(listener, *connections), worker, func() {
		worker.Drain()
		time.Sleep(*leaveTime)
	})
}

func register(ctx context.Context, address string, registration standin.MachineRegistration) (err error) {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	body, err := json.Marshal(registration)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+standin.MachinesPath, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("platform answered %s to the registration", answer.Status)
	}
	return nil
}
