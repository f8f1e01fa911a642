package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxTime is the longest time that a case may take.
const maxTime = 115 * time.Second

// playCase plays one case and returns whether the rule was broken.
type playCase func(record *recorder, trouble bool) (broken bool, err error)

var cases = map[int]playCase{6: playLongRun, 7: playAllowedWorker, 8: playLateCancel, 9: playWaveStop, 10: playLateUpkeep, 11: playLateCrash, 12: playLatePace}

func main() {
	number := flag.Int("case", 0, "number of the case")
	trouble := flag.Bool("trouble", true, "with the disruption")
	path := flag.String("record", "record.txt", "file to which the record is written")
	flag.Parse()
	os.Exit(play(*number, *trouble, *path))
}

func play(number int, trouble bool, path string) (code int) {
	record, err := newRecorder(path)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer record.close()
	record.printf("case %d, with the disruption: %t", number, trouble)
	stopEarly(record)
	selected := cases[number]
	if selected == nil {
		fmt.Println("no such case")
		return exitNotRun
	}
	broken, err := selected(record, trouble)
	switch {
	case err != nil:
		record.printf("the case could not run: %s", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	case broken:
		record.printf("verdict: the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	record.printf("verdict: the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

// played is the deployment of the case; nil before it exists.
var played atomic.Pointer[deployment]

// stopEarly ends the deployment and the program on a signal or after maxTime.
func stopEarly(record *recorder) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxTime):
		}
		record.printf("the case was ended early")
		if d := played.Load(); d != nil {
			d.close()
		}
		os.Exit(exitNotRun)
	}()
}
