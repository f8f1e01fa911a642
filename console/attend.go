package console

import (
	"context"
	"fmt"
	"hash/fnv"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v5"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/logbook"
	"github.com/acaciatally/acaciatally/platform"
	"github.com/acaciatally/acaciatally/site"
)

const (
	// collectPercent trades a few MB for fewer collections on a small share of a core.
	collectPercent = 300
	// memoryShare keeps the heap well below the limit at which the process is killed.
	memoryShare = 0.6
)

// attend runs an entry on the users' platform.
func attend(config Config, arguments []string) (err error) {
	set := flags(config, "attend [flags]", "  acaciatally attend\n  acaciatally attend -check -settings local.json\n")
	path := set.String("settings", config.Getenv(platform.SettingsVariable), "settings file that the platform writes")
	port := set.Uint("metrics", 0, "port on which /metrics is served; 0 serves none")
	checkOnly := set.Bool("check", false, "check the settings and exit")
	if err = parse(set, arguments); err != nil {
		return err
	}
	if *path == "" {
		return &usageError{message: "attend needs -settings or " + platform.SettingsVariable}
	}
	settings, err := platform.LoadSettings(*path)
	if err != nil || *checkOnly {
		return err
	}
	return attendSite(config, *path, uint16(*port), settings)
}

func attendSite(config Config, path string, port uint16, settings platform.Settings) error {
	debug.SetGCPercent(collectPercent)
	if settings.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.Memory)))
	}
	book := logbook.New(config.Output, settings.Name)
	book.Started(versionText(), path)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go stopOnSignal(cancel)
	context.AfterFunc(ctx, func() { book.Stopping("signal") })
	go reloadOnSignal(ctx, path, book)
	entry := siteConfig(settings, book)
	if port != 0 {
		entry.Metrics, entry.MetricsAt = metricsHandler(book), netip.AddrPortFrom(settings.IP, port)
	}
	err := site.New(entry).Run(ctx)
	book.Stopped(err)
	if closing := book.Close(); closing != nil {
		_, _ = fmt.Fprintln(os.Stderr, closing)
	}
	return err
}

// metricsHandler serves the counters of the process.
func metricsHandler(book *logbook.Book) http.Handler {
	server := echo.New()
	server.GET("/metrics", func(c *echo.Context) error {
		book.Metrics().WritePrometheus(c.Response())
		metrics.WriteProcessMetrics(c.Response())
		return nil
	})
	return server
}

func siteConfig(settings platform.Settings, book *logbook.Book) site.Config {
	var fleet acaciatally.FleetControl
	if settings.Control.IsValid() {
		fleet = platform.NewFleet(settings.Control, nil)
	}
	var adviser acaciatally.Adviser
	if settings.Advice.IsValid() {
		adviser = platform.NewAdvice(settings.Advice, nil)
	}
	return site.Config{
		Adviser: adviser, Fleet: fleet, WaveStatus: platform.WaveStatus, MoveTime: settings.Bounds.MoveTime,
		MaintenanceTime: settings.Bounds.MaintenanceTime, OrdersPerSecond: settings.ControlOrders,
		Name: settings.Name, CallerListen: settings.Front, ReadyListen: settings.Ready, Grace: settings.Bounds.Grace,
		Store:  platform.NewStore(settings.Store, nil),
		Orders: platform.NewOrders(nil),
		Operators: site.OperatorRecords{
			Table: platform.OperatorTable, ConfigurationKey: platform.ConfigurationKey,
			DecodeConfiguration: platform.DecodeConfiguration, DecodeWave: platform.DecodeWave,
		},
		WorkerTable: platform.WorkerTable, DecodeWorker: platform.DecodeWorker,
		NewFront: func(desk acaciatally.JobDesk, ready func() bool) site.Front {
			return platform.NewFront(desk, ready)
		},
		LongestLease: settings.Bounds.LongestLease, Retention: 2 * settings.Bounds.StateRetention,
		EarliestBy: settings.Bounds.EarliestStart, Journal: book, Spread: spread(settings.Name),
		Processors: settings.Processors, Link: settings.Link,
	}
}

// spread returns a number between 0 and 1 that differs between entries.
func spread(name string) float64 {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(name)) // a hash always takes what is written
	return float64(sum.Sum32()%1000) / 1000
}
