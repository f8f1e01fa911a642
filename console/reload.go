package console

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/acaciatally/acaciatally/logbook"
	"github.com/acaciatally/acaciatally/platform"
)

// reloadOnSignal reads the settings file again at each hang-up signal, and says what is wrong with it.
func reloadOnSignal(ctx context.Context, path string, book *logbook.Book) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	current, _ := platform.LoadSettings(path) // it was valid at the start, and a reload reports what is wrong
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			loaded, err := platform.LoadSettings(path)
			book.Reloaded(err == nil && loaded != current, err)
			if err == nil {
				current = loaded
			}
		}
	}
}
