// Command standin runs the simulated platform, a simulated worker or a caller.
package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/standin"
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standin platform|worker [flags]")
		os.Exit(2)
	}
	var err error
	switch os.Args[1] {
	case "platform":
		err = runPlatform(os.Args[2:])
	case "worker":
		err = runWorker(os.Args[2:])
	default:
		fmt.Fprintf(os.Stderr, "unknown command %q\n", os.Args[1])
		os.Exit(2)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func runPlatform(arguments []string) error {
	flags := flag.NewFlagSet("platform", flag.ExitOnError)
	listen := flags.String("listen", "127.0.0.1:7000", "address to listen on")
	_ = flags.Parse(arguments)
	return serve(*listen, standin.NewServer(standin.NewTable()))
}

func runWorker(arguments []string) error {
	flags := flag.NewFlagSet("worker", flag.ExitOnError)
	listen := flags.String("listen", "", "address to listen on")
	id := flags.String("id", "", "instance id")
	slots := flags.Int64("slots", 8, "requests served at once")
	serviceTime := flags.Duration("service-time", 20*time.Millisecond, "time a request takes")
	_ = flags.Parse(arguments)
	worker := standin.NewWorker(standin.WorkerConfig{ID: acaciatally.InstanceID(*id), Slots: *slots, ServiceTime: *serviceTime})
	return serve(*listen, worker)
}

func serve(address string, handler http.Handler) error {
	server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	return server.ListenAndServe()
}
