package site

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/dispatch"
	"github.com/acaciatally/acaciatally/ingress"
	"github.com/acaciatally/acaciatally/intake"
	"github.com/acaciatally/acaciatally/interference"
	"github.com/acaciatally/acaciatally/leadership"
	"github.com/acaciatally/acaciatally/overload"
	"github.com/acaciatally/acaciatally/roster"
)

// EventLog logs the decisions of this entry and the state changes that it observes.
type EventLog interface {
	intake.EventLog
	dispatch.EventLog
	leadership.EventLog
	roster.EventLog
	// AccountsUnderPressure logs the admission that this entry publishes as the leader, at most once a second; nil if no account is under
	// pressure any more.
	AccountsUnderPressure(state *overload.State)
	// Stopping logs why the process stops.
	Stopping(reason string)
	// DependencyChanged logs that an external dependency has become unreachable or reachable again. sinceLastResponse is the time since its
	// last response, or since the last one before the outage if it is reachable again. err is nil if it is reachable.
	DependencyChanged(name string, reached bool, sinceLastResponse time.Duration, err error)
	// ConfigurationApplied logs that this entry has applied a configuration; record is the version of its record.
	ConfigurationApplied(version, record uint64, queues, accounts int)
	// ConfigurationIgnored logs that a configuration could not be decoded; record is the version of its record.
	ConfigurationIgnored(record uint64, err error)
	// ConfigurationPartIgnored logs that a part of a configuration is not valid and does not take effect; record is the version of its record.
	ConfigurationPartIgnored(record uint64, err error)
	// IngressLimited logs that requests were refused or connections closed, because of the limits on requests on their way in.
	IngressLimited(report ingress.Report)
}

// JobAPI serves the platform's HTTP API to callers and the load balancer.
type JobAPI interface {
	// Handler returns the handler of the job API.
	Handler() http.Handler
	// ReadinessHandler returns the handler of the load balancer's readiness check.
	ReadinessHandler() http.Handler
	// SetStopping makes the readiness check fail from now on.
	SetStopping()
}

// Config is the configuration of a Process.
type Config struct {
	Name          string
	CallerListen  netip.AddrPort
	ReadyListen   netip.AddrPort
	Metrics       http.Handler   // nil if metrics are not served
	MetricsListen netip.AddrPort // listen address of Metrics
	Ingress       ingress.Limits // with defaults; on requests on their way in to all listeners together
	GracePeriod   time.Duration  // between the signal to stop and the kill
	Store         acaciatally.RecordStore
	Orders        acaciatally.WorkerOrders
	Operators     OperatorRecords
	Adviser       acaciatally.Adviser      // nil if the platform has no service that chooses workers
	Fleet         acaciatally.FleetControl // nil if instances are neither moved nor maintained
	// WaveStatus returns the write that reports to operators whether a wave is completed.
	WaveStatus    func(number int, completed bool) (write acaciatally.RecordWrite)
	WorkerTable   string
	DecodeWorker  dispatch.DecodeWorker
	NewJobAPI     func(jobs acaciatally.JobService, ready func() bool) JobAPI
	MaxLease      time.Duration // longest lease that a worker grants
	Retention     time.Duration // how long the state of an ended job is kept
	MaxEarlyStart time.Duration // how long before its scheduled time an occurrence may start
	// MaxRecordBytes is the size of the largest record that the store takes; 0 is job.DefaultRecordBytes.
	MaxRecordBytes int
	// MaxBacklogBytes is the memory for accepted jobs in the entry that leads; 0 is unlimited.
	MaxBacklogBytes int64
	// MaxConfigurationAge is the age of the configuration beyond which keys of accounts can't be checked; 0 is intake.DefaultMaxConfigurationAge.
	MaxConfigurationAge time.Duration

	QuotaWindow  time.Duration // time over which the rate of an account's jobs is counted; if it is 0, the defaults apply to all three
	QuotaOverage float64       // part of its weight by which an account may exceed its rate of jobs
	QuotaSlack   int           // jobs by which an account may exceed its rate in each window

	OrdersPerSecond float64       // the platform's rate limit for orders on instances, over all entries; 0 is unlimited
	MoveTime        time.Duration // from the order until a moved instance serves again
	MaintenanceTime time.Duration // from the order until a maintained instance serves again

	IgnoreWorkerSpeed bool              // the leader learns nothing of the speed of workers
	Interference      interference.Mode // what the leader does about tasks that slow each other down; empty is off
	EventLog          EventLog
	TakeoverJitter    float64              // jitter factor of this entry's takeover delay, 0 to 1
	Processors        float64              // cores that this entry may use, also a fraction
	LinkBitsPerSecond float64              // link speed in bits per second; 0 if not limited
	Now               func() time.Duration // monotonic clock; nil is Uptime
	// IngressMetrics is the set of the metrics of requests on their way in; nil if they are not measured.
	IngressMetrics *metrics.Set
	// Listen opens listeners; nil uses the network. Tests replace it.
	Listen func(ctx context.Context, network, address string) (listener net.Listener, err error)
}

func (c *Config) setDefaults() {
	if c.Now == nil {
		c.Now = Uptime
	}
	if c.Listen == nil {
		c.Listen = ingress.Listen
	}
	if c.MaxConfigurationAge == 0 {
		c.MaxConfigurationAge = intake.DefaultMaxConfigurationAge
	}
	c.Ingress = c.Ingress.WithDefaults(0, 0)
}
