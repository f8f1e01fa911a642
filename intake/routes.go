package intake

import (
	"net"
	"slices"
	"strings"

	"github.com/acaciatally/acaciatally"
)

// Routes maps requests to queues and keys to accounts, for one version of the configuration.
type Routes struct {
	Version uint64
	Limits  acaciatally.RequestLimits
	// Accounts holds the client accounts by name; it is nil if the configuration has none.
	Accounts map[acaciatally.AccountName]acaciatally.Account
	byHost   map[string][]acaciatally.Queue // longest prefix first
	public   map[acaciatally.QueueName]bool // for each queue, whether calls need no key
	keys     *keyIndex                      // nil without accounts
}

// NewRoutes returns the routes of a configuration.
func NewRoutes(configuration *acaciatally.Configuration) *Routes {
	routes := &Routes{
		Version: configuration.Version, Limits: configuration.Limits, Accounts: configuration.Accounts,
		byHost: map[string][]acaciatally.Queue{},
	}
	for _, queue := range configuration.Queues {
		routes.byHost[queue.Host] = append(routes.byHost[queue.Host], queue)
	}
	for _, queues := range routes.byHost {
		slices.SortStableFunc(queues, func(a, b acaciatally.Queue) int { return len(b.Prefix) - len(a.Prefix) })
	}
	if configuration.Accounts != nil {
		routes.public = make(map[acaciatally.QueueName]bool, len(configuration.Queues))
		for _, queue := range configuration.Queues {
			routes.public[queue.Name] = queue.Public
		}
		routes.keys = newKeyIndex(configuration.Accounts)
	}
	return routes
}

// Find returns the queue of the host with the longest prefix that matches the path, and the rest of the path.
func (r *Routes) Find(host, path string) (queue acaciatally.Queue, rest string, found bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, queue = range r.byHost[strings.ToLower(host)] {
		if rest, found = strings.CutPrefix(path, queue.Prefix); found {
			return queue, rest, true
		}
	}
	return acaciatally.Queue{}, "", false
}
