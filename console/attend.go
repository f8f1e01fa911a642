package console

import (
	"context"
	"fmt"
	"hash/fnv"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v5"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/eventlog"
	"github.com/acaciatally/acaciatally/interference"
	"github.com/acaciatally/acaciatally/platform"
	"github.com/acaciatally/acaciatally/site"
)

const (
	// gcPercent trades a few MB of memory for fewer garbage collections, since the entry has only a small share of a core.
	gcPercent = 300
	// memoryLimitShare is the soft memory limit as a share of the memory at which the process is killed; it keeps the heap well below.
	memoryLimitShare = 0.6
)

// attendOptions are the flags of the attend command.
type attendOptions struct {
	settingsPath string
	metricsPort  uint16 // 0 disables the /metrics server
	interference interference.Mode
	learnSpeed   bool
}

// attend runs an entry on the users' platform, configured by the settings file that the platform writes.
func attend(config Config, arguments []string) (err error) {
	set := newFlagSet(config, "attend [flags]", "  acaciatally attend\n  acaciatally attend -check -settings local.json\n")
	path := set.String("settings", config.Getenv(platform.SettingsVariable), "settings file that the platform writes")
	port := set.Uint("metrics", 0, "port of the /metrics server; 0 disables it")
	interferenceMode := set.String("interference", string(interference.ModeObserve),
		"what the leader does about kinds of tasks that slow each other down on one worker: off, observe or avoid")
	learnSpeed := set.Bool("learn-speed", false, "learn the speed of workers and place runs on slow and unreliable ones last")
	checkOnly := set.Bool("check", false, "check the settings and exit")
	if err = parseFlags(set, arguments); err != nil {
		return err
	}
	mode, err := interference.ParseMode(*interferenceMode)
	if err != nil {
		return &usageError{message: "-interference: " + err.Error()}
	}
	if *path == "" {
		return &usageError{message: "attend needs -settings or " + platform.SettingsVariable}
	}
	if *checkOnly {
		_, err = platform.LoadSettings(*path)
		return err
	}
	return runSite(config, attendOptions{settingsPath: *path, metricsPort: uint16(*port), interference: mode, learnSpeed: *learnSpeed})
}

// runSite runs an entry until it is stopped.
func runSite(config Config, options attendOptions) error {
	signals := catchSignals()
	settings, err := platform.LoadSettings(options.settingsPath)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	if settings.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(settings.Memory)))
	}
	logger := eventlog.New(config.Output, settings.Name)
	logger.Started(versionText(), options.settingsPath)
	process := newProcess(options, settings, logger)
	err = runProcess(process, signals, &settingsReloader{path: options.settingsPath, current: settings, logger: logger})
	logger.Stopped(err)
	if closeErr := logger.Close(); closeErr != nil {
		_, _ = fmt.Fprintln(os.Stderr, closeErr)
	}
	return err
}

func newProcess(options attendOptions, settings platform.Settings, logger *eventlog.Logger) *site.Process {
	siteConfig := newSiteConfig(settings, logger)
	siteConfig.Interference, siteConfig.IgnoreWorkerSpeed = options.interference, !options.learnSpeed
	if options.metricsPort != 0 {
		siteConfig.Metrics, siteConfig.MetricsListen = metricsHandler(logger), netip.AddrPortFrom(settings.IP, options.metricsPort)
	}
	process := site.New(siteConfig)
	logger.Metrics().NewGauge("acaciatally_configuration_age_seconds", func() float64 { return process.ConfigurationAge().Seconds() })
	logger.Metrics().NewGauge("acaciatally_backlog_bytes", func() float64 { return float64(process.BacklogBytes()) })
	return process
}

// runProcess runs the process until a signal stops it. The settings are reloaded until it has finished its requests.
func runProcess(process *site.Process, signals processSignals, reloader *settingsReloader) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go signals.stopOnce(stop)
	context.AfterFunc(ctx, func() { reloader.logger.Stopping("signal") })
	reloadCtx, stopReloads := context.WithCancel(context.Background())
	var reloads sync.WaitGroup
	reloads.Go(func() { reloader.run(reloadCtx, signals.hangup) })
	defer reloads.Wait()
	defer stopReloads()
	return process.Run(ctx)
}

// metricsHandler serves the metrics of the entry and of its process.
func metricsHandler(logger *eventlog.Logger) http.Handler {
	server := echo.New()
	server.GET("/metrics", func(c *echo.Context) error {
		logger.Metrics().WritePrometheus(c.Response())
		metrics.WriteProcessMetrics(c.Response())
		return nil
	})
	return server
}

func newSiteConfig(settings platform.Settings, logger *eventlog.Logger) site.Config {
	var fleet acaciatally.FleetControl
	if settings.InstanceControl.IsValid() {
		fleet = platform.NewFleetClient(settings.InstanceControl, nil)
	}
	var adviser acaciatally.Adviser
	if settings.Advice.IsValid() {
		adviser = platform.NewAdviceClient(settings.Advice, nil)
	}
	return site.Config{
		Adviser: adviser, Fleet: fleet, WaveStatus: platform.WaveStatus, MoveTime: settings.Bounds.MoveTime,
		MaintenanceTime: settings.Bounds.MaintenanceTime, OrdersPerSecond: settings.ControlOrderRate,
		QuotaWindow: settings.Bounds.QuotaWindow, QuotaOverage: settings.Bounds.QuotaOverage, QuotaSlack: settings.Bounds.QuotaSlack,
		Name: settings.Name, CallerListen: settings.CallerListen, ReadyListen: settings.ReadyListen, GracePeriod: settings.Bounds.GracePeriod,
		Store:  platform.NewStore(platform.StoreConfig{Address: settings.Store, LinkBitsPerSecond: settings.LinkBitsPerSecond}),
		Orders: platform.NewWorkerClient(nil),
		Operators: site.OperatorRecords{
			Table: platform.OperatorTable, ConfigurationKey: platform.ConfigurationKey,
			DecodeConfiguration: platform.DecodeConfiguration, DecodeWave: platform.DecodeWave,
		},
		Ingress: settings.Ingress.WithDefaults(settings.Memory, settings.Descriptors), IngressMetrics: logger.Metrics(),
		WorkerTable: platform.WorkerTable, DecodeWorker: platform.DecodeWorker,
		NewJobAPI: func(jobs acaciatally.JobService, ready func() bool) site.JobAPI {
			return platform.NewJobAPI(jobs, ready)
		},
		MaxLease: settings.Bounds.MaxLease, Retention: 2 * settings.Bounds.StateRetention,
		MaxEarlyStart: settings.Bounds.MaxEarlyStart, MaxRecordBytes: settings.MaxRecordBytes, MaxBacklogBytes: settings.MaxBacklogBytes,
		MaxConfigurationAge: settings.Bounds.KeyRevocation, EventLog: logger, TakeoverJitter: hashFraction(settings.Name),
		Processors: settings.Processors, LinkBitsPerSecond: settings.LinkBitsPerSecond,
	}
}

// hashFraction returns a number in [0, 1) that depends on the entry's name, so that different entries usually get different numbers.
func hashFraction(name string) float64 {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(name)) // a hash.Hash never returns an error
	return float64(sum.Sum32()%1000) / 1000
}
