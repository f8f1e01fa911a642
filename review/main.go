// Command harness runs one case of the review: it starts entries as separate processes, plays the platform, the workers and the callers
// beside them, and checks one rule from what these have seen.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxCaseTime ends a case that hangs.
const maxCaseTime = 110 * time.Second

// scenario is one case: what it deploys, what happens, and the rule that it checks.
type scenario struct {
	entries int
	routes  []route
	workers func(b *bench) []*worker
	play    func(b *bench) error
	check   func(b *bench) []string
}

func main() {
	name := flag.String("case", "", "case to run")
	program := flag.String("program", "target/acaciatally", "program of the entries, as the deploy file builds it")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(run(*name, *program, *record, os.Getenv("TROUBLE") != "0"))
}

func run(name, program, record string, trouble bool) int {
	s, found := scenarios()[name]
	if !found {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitNotRun
	}
	if _, err := os.Stat(program); err != nil {
		fmt.Fprintln(os.Stderr, "the program of the deploy file is missing:", err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program, err = filepath.Abs(program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	b := &bench{
		dir: dir, program: program, trouble: trouble, log: newRecorder(),
		subnet: fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), 1+rand.IntN(250)),
	}
	code := playCase(b, s)
	if err := b.log.write(record); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	return code
}

func playCase(b *bench, s scenario) int {
	defer b.close()
	timer := time.AfterFunc(maxCaseTime, func() {
		fmt.Fprintln(os.Stderr, "the case took too long")
		b.close()
		os.Exit(exitNotRun)
	})
	defer timer.Stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		b.close()
		os.Exit(exitNotRun)
	}()
	b.log.note("trouble: %v", b.trouble)
	if err := b.start(s); err != nil {
		b.log.note("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return exitNotRun
	}
	if err := s.play(b); err != nil {
		b.log.note("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return exitNotRun
	}
	broken := s.check(b)
	for i, line := range broken {
		b.log.note("BROKEN %s", line)
		if i < 5 {
			fmt.Println("broken:", line)
		}
	}
	if len(broken) > 0 {
		fmt.Printf("the rule was broken %d times\n", len(broken))
		return exitBroken
	}
	b.log.note("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
