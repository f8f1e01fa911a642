package admission

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/acaciatally/acaciatally"
)

const (
	defaultMaxRequests  = 4096
	defaultMaxBodyBytes = 64 << 20 // 64 MiB
	// overloadRetryAfter is the time after which an overloaded entry can be tried again. It is about the service time of a request,
	// after which some of the requests in progress have finished.
	overloadRetryAfter = time.Second
)

// Directory looks up pools and teams in the configuration in force.
type Directory interface {
	// HasPool reports whether the pool exists.
	HasPool(pool acaciatally.PoolName) bool
	// HasTeam reports whether the team exists.
	HasTeam(team acaciatally.TeamName) bool
}

// Config configures a Filter; zero limits are replaced by the defaults.
type Config struct {
	Directory    Directory
	MaxRequests  int   // requests in progress in this entry, default 4096
	MaxBodyBytes int64 // bytes of the bodies of the requests in progress in this entry, default 64 MiB
}

// Filter refuses requests for unknown pools, from unknown teams, or beyond the limits of this entry. It needs no other process for that and
// is safe for concurrent use.
type Filter struct {
	config   Config
	mutex    sync.Mutex
	requests int
	bytes    int64
}

// New returns a filter.
func New(config Config) *Filter {
	if config.MaxRequests == 0 {
		config.MaxRequests = defaultMaxRequests
	}
	if config.MaxBodyBytes == 0 {
		config.MaxBodyBytes = defaultMaxBodyBytes
	}
	return &Filter{config: config}
}

// String returns the filter's name in logs and metrics.
func (f *Filter) String() string { return "admit" }

// Run fails with *acaciatally.Refusal, or counts the exchange towards the entry's limits until it has finished.
func (f *Filter) Run(_ context.Context, exchange *acaciatally.Exchange) (err error) {
	request := &exchange.Request
	if !f.config.Directory.HasPool(request.Pool) {
		return refuse(http.StatusNotFound, "no service "+string(request.Pool))
	}
	if !f.config.Directory.HasTeam(request.Team) {
		return refuse(http.StatusForbidden, "no team "+string(request.Team))
	}
	size := int64(len(request.Body))
	if !f.reserve(size) {
		return RefuseOverload("this entry is full", overloadRetryAfter)
	}
	exchange.OnFinish(func(*acaciatally.Exchange) { f.release(size) })
	return nil
}

func (f *Filter) reserve(size int64) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.requests >= f.config.MaxRequests || f.bytes+size > f.config.MaxBodyBytes {
		return false
	}
	f.requests++
	f.bytes += size
	return true
}

func (f *Filter) release(size int64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.requests--
	f.bytes -= size
}

func refuse(status int, reason string) *acaciatally.Refusal {
	return &acaciatally.Refusal{Outcome: acaciatally.NotRun, Status: status, Reason: reason}
}
