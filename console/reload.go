package console

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/acaciatally/acaciatally/eventlog"
	"github.com/acaciatally/acaciatally/platform"
)

// reloadOnHangup reads the settings file again on each SIGHUP and logs whether the settings changed, or why they are invalid.
func reloadOnHangup(ctx context.Context, path string, logger *eventlog.Logger) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	current, _ := platform.LoadSettings(path) // the file was valid at start; if it no longer is, the next reload reports that
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			loaded, err := platform.LoadSettings(path)
			logger.Reloaded(err == nil && loaded != current, err)
			if err == nil {
				current = loaded
			}
		}
	}
}
