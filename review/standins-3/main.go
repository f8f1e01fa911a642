// Command standins-3 plays a scenario of the review: it emulates the platform, the workers and the clients, and starts entries as processes.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes of the program.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario plays a case and returns what it has found broken; it fails if the case could not run.
type scenario func(sim *simulation, trouble bool) (broken []string, err error)

var scenarios = map[string]scenario{"many-queues": manyQueues, "random": random, "hangup-while-stopping": hangupWhileStopping, "gang-end": gangEnd}

func main() { os.Exit(play()) }

func play() int {
	name := flag.String("scenario", "", "scenario to play")
	program := flag.String("program", "target/acaciatally", "program of the entries")
	path := flag.String("record", "record.txt", "file of the record")
	seed := flag.Uint64("seed", 1, "seed of random scenarios")
	keep := flag.String("keep", "", "folder for the logs of the entries; empty is a temporary one")
	flag.Parse()
	// A SIGHUP that is ignored here, as under nohup, would be ignored by the entries too. One that is caught here has its default action there.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	randomSeed = *seed
	chosen, found := scenarios[*name]
	if !found {
		fmt.Fprintln(os.Stderr, "no such scenario:", *name)
		return exitNotRun
	}
	absolute, err := filepath.Abs(*program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	log, err := os.Create(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = log.Close() }()
	dir := *keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "standins-3-"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitNotRun
		}
		defer func() { _ = os.RemoveAll(dir) }() // a temporary folder
	}
	sim := newSimulation(dir, absolute, log)
	broken, err := chosen(sim, os.Getenv("TROUBLE") != "0")
	sim.close()
	return report(io.MultiWriter(os.Stdout, log), broken, err)
}

func report(output io.Writer, broken []string, err error) int {
	if err != nil {
		_, _ = fmt.Fprintln(output, "the case could not run:", err)
		return exitNotRun
	}
	for _, text := range broken {
		_, _ = fmt.Fprintln(output, "broken:", text)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	_, _ = fmt.Fprintln(output, "the rule held")
	return exitHeld
}
