// Command acaciatally runs an entry of the system.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/phuslu/log"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/entry"
	"github.com/acaciatally/acaciatally/platform"
	"github.com/acaciatally/acaciatally/settings"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(arguments []string) (err error) {
	flags := flag.NewFlagSet("serve", flag.ExitOnError)
	path := flags.String("settings", "", "settings file")
	id := flags.String("entry", "", "id of this entry in the settings")
	if len(arguments) == 0 || arguments[0] != "serve" {
		return fmt.Errorf("usage: acaciatally serve -settings FILE -entry ID")
	}
	_ = flags.Parse(arguments[1:])
	loaded, err := settings.Load(*path)
	if err != nil {
		return err
	}
	self, err := loaded.Entry(acaciatally.EntryID(*id))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go stopOnSignal(cancel)
	client := platform.New(platform.Config{Address: loaded.Platform.Address, Timeout: loaded.Platform.Timeout})
	entry.TuneMemory()
	process := entry.New(entry.Config{Settings: loaded, Entry: self, Table: client, Logger: &log.DefaultLogger})
	return process.Run(ctx)
}

// stopOnSignal ends the context at the first signal and the process at the second.
func stopOnSignal(cancel context.CancelFunc) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
	cancel()
	<-signals
	os.Exit(1)
}
