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

func runWorker(ctx context.Context, arguments []string, errOutput io.Writer) error {
	flags := newFlags("worker", workerExamples, errOutput)
	listen := flags.String("listen", "", "address to listen on")
	id := flags.String("id", "", "instance id")
	slots := flags.Int64("slots", 8, "maximum number of concurrent requests")
	connections := flags.Int("connections", 64, "maximum number of open connections")
	serviceTime := flags.Duration("service-time", 20*time.Millisecond, "mean service time of a request")
	spread := flags.Float64("spread", 0, "standard deviation of the logarithm of the service time; 0 is constant")
	mode := flags.String("mode", "", "fault mode: FastErrors, Slow, TruncatedAnswer, OversizedAnswer or Hang")
	platformAddress := flags.String("platform", "", "address of the platform to register with; empty does not register")
	dataCentre := flags.String("data-centre", "", "data centre for the registration")
	rack := flags.String("rack", "", "rack for the registration")
	processors := flags.Float64("processors", 64, "cores for the registration")
	memory := flags.Int64("memory", 256<<30, "memory for the registration, in bytes")
	leaveTime := flags.Duration("leave-time", standin.DefaultDrainDelay, "time between reporting that the worker is leaving and closing the listener")
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
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("register with the platform: response status %s", response.Status)
	}
	return nil
}
