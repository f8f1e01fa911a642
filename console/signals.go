package console

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// processSignals are the signals that an entry handles. They are caught until the process has ended, since each of them would otherwise end it at
// once, with the requests that it still finishes.
type processSignals struct {
	stop   chan os.Signal
	hangup chan os.Signal
}

// catchSignals catches the signals from now on.
func catchSignals() processSignals {
	signals := processSignals{stop: make(chan os.Signal, 2), hangup: make(chan os.Signal, 1)}
	signal.Notify(signals.stop, syscall.SIGTERM, os.Interrupt)
	signal.Notify(signals.hangup, syscall.SIGHUP)
	return signals
}

// stopOnTerminate cancels the context on the first SIGTERM or interrupt, and exits the process on the second.
func (s processSignals) stopOnTerminate(cancel context.CancelFunc) {
	<-s.stop
	cancel()
	<-s.stop
	os.Exit(ExitFailure)
}

// stopOnHangup cancels the context on the first SIGHUP; further ones have no effect.
func (s processSignals) stopOnHangup(cancel context.CancelFunc) {
	<-s.hangup
	cancel()
}
