package console

import (
	"context"
	"fmt"
	"os"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/entry"
	"github.com/acaciatally/acaciatally/hosting"
	"github.com/acaciatally/acaciatally/settings"
)

func serve(config Config, arguments []string) (err error) {
	set := newFlagSet(config, "serve [flags]", "  acaciatally serve -settings examples/authority.yaml -entry entry-1\n")
	path := set.String("settings", "", "settings file of the deployment")
	id := set.String("entry", "", "id of this entry in the settings")
	checkOnly := set.Bool("check", false, "check the settings and exit")
	if err = parseFlags(set, arguments); err != nil {
		return err
	}
	if *path == "" || (*id == "" && !*checkOnly) {
		return &usageError{message: "serve needs -settings and -entry"}
	}
	if *checkOnly {
		return checkFile(config, *path)
	}
	loaded, err := settings.Load(*path)
	if err != nil {
		return err
	}
	self, err := loaded.Entry(acaciatally.EntryID(*id))
	if err != nil {
		return &usageError{message: err.Error()}
	}
	return runEntry(loaded, self)
}

func runEntry(loaded *settings.Settings, self settings.Entry) error {
	signals := catchSignals()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go signals.stopOrExit(cancel)
	go signals.stopOnHangup(cancel)
	logger := &log.Logger{
		Level: log.InfoLevel, TimeFormat: "2006-01-02T15:04:05.000Z07:00", Writer: &log.IOWriter{Writer: os.Stderr},
		Context: log.NewContext(nil).Str("entry", string(self.ID)).Value(),
	}
	client := hosting.New(hosting.Config{Address: loaded.Platform.Address, Timeout: loaded.Platform.Timeout, Metrics: metrics.GetDefaultSet()})
	entry.TuneGarbageCollector()
	entry.LimitMemory(int64(self.Memory))
	process := entry.New(entry.Config{
		Settings: loaded, Entry: self, Table: client, Objects: client, List: client, Instances: client, Tasks: client, Logger: logger,
	})
	if err := process.Run(ctx); err != nil {
		return fmt.Errorf("entry %s: %w", self.ID, err)
	}
	return nil
}
