package admission

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/acaciatally/acaciatally"
)

// The defaults of a Config.
const (
	defaultMaxLength = 4096
	defaultMaxBytes  = 64 << 20
	// fullRetryAfter is the time after which an entry that was full is worth another try: requests in an entry last about
	// as long as one request is served.
	fullRetryAfter = time.Second
)

// Directory tells which pools and teams exist in the configuration in force.
type Directory interface {
	// HasPool reports whether the pool exists.
	HasPool(pool acaciatally.PoolName) bool
	// HasTeam reports whether the team exists.
	HasTeam(team acaciatally.TeamName) bool
}

// Config is what a Filter needs.
type Config struct {
	Directory Directory
	MaxLength int   // requests in this entry at once, default 4096
	MaxBytes  int64 // bytes of request bodies in this entry at once, default 64 MiB
}

// Filter refuses what the entry can judge alone: unknown pools and teams, and more requests than the entry can hold.
type Filter struct {
	config Config
	mutex  sync.Mutex
	length int
	bytes  int64
}

// New returns the filter.
func New(config Config) *Filter {
	if config.MaxLength == 0 {
		config.MaxLength = defaultMaxLength
	}
	if config.MaxBytes == 0 {
		config.MaxBytes = defaultMaxBytes
	}
	return &Filter{config: config}
}

// String returns the filter's name.
func (f *Filter) String() string { return "admit" }

// Run refuses the exchange with *acaciatally.Refusal or counts it until it has finished.
func (f *Filter) Run(_ context.Context, exchange *acaciatally.Exchange) (err error) {
	request := &exchange.Request
	if !f.config.Directory.HasPool(request.Pool) {
		return refuse(http.StatusNotFound, "no service "+string(request.Pool))
	}
	if !f.config.Directory.HasTeam(request.Team) {
		return refuse(http.StatusForbidden, "no team "+string(request.Team))
	}
	size := int64(len(request.Body))
	if !f.enter(size) {
		return Full("this entry is full", fullRetryAfter)
	}
	exchange.OnFinish(func(*acaciatally.Exchange) { f.exit(size) })
	return nil
}

func (f *Filter) enter(size int64) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.length >= f.config.MaxLength || f.bytes+size > f.config.MaxBytes {
		return false
	}
	f.length++
	f.bytes += size
	return true
}

func (f *Filter) exit(size int64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.length--
	f.bytes -= size
}

func refuse(status int, reason string) *acaciatally.Refusal {
	return &acaciatally.Refusal{Outcome: acaciatally.NotRun, Status: status, Reason: reason}
}
