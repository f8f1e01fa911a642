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
	terminate chan os.Signal
	interrupt chan os.Signal
	hangup    chan os.Signal
}

// catchSignals catches the signals from now on.
func catchSignals() processSignals {
	return processSignals{terminate: catch(syscall.SIGTERM), interrupt: catch(os.Interrupt), hangup: catch(syscall.SIGHUP)}
}

func catch(caught os.Signal) chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, caught)
	return signals
}

// awaitStop waits for a SIGTERM or an interrupt.
func (s processSignals) awaitStop() {
	select {
	case <-s.terminate:
	case <-s.interrupt:
	}
}

// stopOrExit cancels the context on the first SIGTERM or interrupt, and exits the process on the second.
func (s processSignals) stopOrExit(cancel context.CancelFunc) {
	s.awaitStop()
	cancel()
	s.awaitStop()
	os.Exit(ExitFailure)
}

// stopOnce cancels the context on the first SIGTERM or interrupt, and exits the process on an interrupt after that. Planned stops may overlap, so
// further SIGTERMs have no effect: whoever sends them ends a process that takes too long with SIGKILL.
func (s processSignals) stopOnce(cancel context.CancelFunc) {
	s.awaitStop()
	cancel()
	<-s.interrupt
	os.Exit(ExitFailure)
}

// stopOnHangup cancels the context on the first SIGHUP; further ones have no effect.
func (s processSignals) stopOnHangup(cancel context.CancelFunc) {
	<-s.hangup
	cancel()
}
