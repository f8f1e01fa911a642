package console

import (
	"context"
	"os"

	"github.com/acaciatally/acaciatally/eventlog"
	"github.com/acaciatally/acaciatally/platform"
)

// settingsReloader reads the settings file of a running entry again.
type settingsReloader struct {
	path    string
	current platform.Settings
	logger  *eventlog.Logger
}

// run reads the file on each SIGHUP until ctx ends, and logs whether the settings changed, or why they are invalid.
func (r *settingsReloader) run(ctx context.Context, hangup <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			r.reload()
		}
	}
}

func (r *settingsReloader) reload() {
	loaded, err := platform.LoadSettings(r.path)
	r.logger.Reloaded(err == nil && loaded != r.current, err)
	if err == nil {
		r.current = loaded
	}
}
