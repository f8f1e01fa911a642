package settings

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/acaciatally/acaciatally"
)

// tasksPath is the first path segment of the tasks API; the first segment also selects the pool, so no pool can have this name.
const tasksPath = "tasks"

// minPeerKey is the shortest shared key in bytes that the peers' handshake accepts.
const minPeerKey = 16

// check reports every invalid value.
func (s *Settings) check(problems *problems) {
	if s.Deployment == "" {
		problems.addAt("Deployment", "is missing")
	}
	if !s.Platform.Address.IsValid() {
		problems.addAt("Platform.Address", "is missing")
	}
	s.checkEntries(problems)
	s.checkPools(problems)
	s.checkTeams(problems)
	s.Traffic.check(problems)
	s.Ingress.check(s.Traffic, problems)
	s.Control.check(problems)
	s.Peers.check(problems)
	s.Weights.check(problems)
	for i, operator := range s.Operators {
		if operator.Name == "" || operator.Token == "" {
			problems.addAt(fmt.Sprintf("Operators[%d]", i), "requires Name and Token")
		}
	}
}

func (s *Settings) hasDataCentre(dataCentre acaciatally.DataCentre) bool {
	for _, known := range s.DataCentres {
		if known == dataCentre {
			return true
		}
	}
	return false
}

func (s *Settings) checkEntries(problems *problems) {
	if len(s.Entries) == 0 {
		problems.addAt("Entries", "requires at least one entry")
	}
	ids := map[acaciatally.EntryID]bool{}
	addresses := addressSet{owners: map[netip.AddrPort]string{}, problems: problems}
	for i, entry := range s.Entries {
		path := fmt.Sprintf("Entries[%d]", i)
		if entry.ID == "" || ids[entry.ID] {
			problems.addAt(path+".ID", "%q is empty or already used", entry.ID)
		}
		ids[entry.ID] = true
		if least := entryMemoryShare * memoryPerMaxBody * s.Traffic.MaxBody; s.Ingress.Memory == 0 && entry.Memory != 0 && entry.Memory < least {
			problems.addAt(path+".Memory", "must be at least %d bytes for Traffic.MaxBody, or Ingress.Memory set", least)
		}
		if entry.Descriptors < 0 {
			problems.addAt(path+".Descriptors", "must not be negative")
		}
		if !s.hasDataCentre(entry.DataCentre) {
			problems.addAt(path+".DataCentre", "%q is not in DataCentres", entry.DataCentre)
		}
		addresses.add(path+".CallerAddress", entry.CallerAddress)
		addresses.add(path+".OperatorAddress", entry.OperatorAddress)
		addresses.add(path+".PeerAddress", entry.PeerAddress)
	}
}

// addressSet finds addresses that are missing or used twice.
type addressSet struct {
	owners   map[netip.AddrPort]string
	problems *problems
}

func (a addressSet) add(path string, address netip.AddrPort) {
	if !address.IsValid() {
		a.problems.addAt(path, "is missing")
		return
	}
	if owner, found := a.owners[address]; found {
		a.problems.addAt(path, "%s is already used by %s", address, owner)
		return
	}
	a.owners[address] = path
}

func (s *Settings) checkPools(problems *problems) {
	names := map[acaciatally.PoolName]bool{}
	ids := map[acaciatally.InstanceID]bool{}
	addresses := addressSet{owners: map[netip.AddrPort]string{}, problems: problems}
	spare := ""
	for i, pool := range s.Pools {
		path := fmt.Sprintf("Pools[%d]", i)
		if pool.Name == "" || names[pool.Name] {
			problems.addAt(path+".Name", "%q is empty or already used", pool.Name)
		}
		if pool.Name == tasksPath {
			problems.addAt(path+".Name", "%q is reserved for the path of the tasks API", pool.Name)
		}
		names[pool.Name] = true
		if pool.Spare && spare != "" {
			problems.addAt(path+".Spare", "pool %s is already the spare pool", spare)
		}
		if pool.Spare {
			spare = string(pool.Name)
		}
		if pool.MinAvailable < 0 || pool.MaxUnavailable < 0 || pool.MinAvailable > len(pool.Instances) {
			problems.addAt(path+".MinAvailable", "budget must be between 0 and the number of instances, %d", len(pool.Instances))
		}
		for j, instance := range pool.Instances {
			s.checkInstance(instance, fmt.Sprintf("%s.Instances[%d]", path, j), ids, addresses, problems)
		}
	}
}

func (s *Settings) checkInstance(
	instance Instance, path string, ids map[acaciatally.InstanceID]bool, addresses addressSet, problems *problems,
) {
	if instance.ID == "" || ids[instance.ID] {
		problems.addAt(path+".ID", "%q is empty or already used", instance.ID)
	}
	ids[instance.ID] = true
	if !s.hasDataCentre(instance.DataCentre) {
		problems.addAt(path+".DataCentre", "%q is not in DataCentres", instance.DataCentre)
	}
	if instance.Rack == "" {
		problems.addAt(path+".Rack", "is missing")
	}
	if instance.Slots < 0 || instance.Connections < instance.Slots {
		problems.addAt(path+".Connections", "%d connections are too few for %d slots", instance.Connections, instance.Slots)
	}
	addresses.add(path+".Address", instance.Address)
}

func (s *Settings) checkTeams(problems *problems) {
	names := map[acaciatally.TeamName]bool{}
	for i, team := range s.Teams {
		path := fmt.Sprintf("Teams[%d]", i)
		if team.Name == "" || names[team.Name] {
			problems.addAt(path+".Name", "%q is empty or already used", team.Name)
		}
		names[team.Name] = true
		if team.Quota < 0 {
			problems.addAt(path+".Quota", "must not be negative")
		}
	}
}

func (t Traffic) check(problems *problems) {
	for _, floor := range []struct {
		name  string
		value float64
	}{{"Urgent", t.Floors.Urgent}, {"Normal", t.Floors.Normal}, {"Background", t.Floors.Background}} {
		if floor.value < 0 || floor.value > 1 {
			problems.addAt("Traffic.Floors."+floor.name, "must be between 0 and 1")
		}
	}
	if t.Floors.Urgent+t.Floors.Normal+t.Floors.Background > 1 {
		problems.addAt("Traffic.Floors", "sum must not exceed 1")
	}
	if t.RetryBudget < 0 || t.RetryBudget > 1 {
		problems.addAt("Traffic.RetryBudget", "must be between 0 and 1")
	}
	if t.DefaultDeadline > t.MaxDeadline {
		problems.addAt("Traffic.DefaultDeadline", "must not be longer than MaxDeadline %s", t.MaxDeadline)
	}
	checkPositive(problems, "Traffic.ConnectTimeout", t.ConnectTimeout)
	checkPositive(problems, "Traffic.ClaimRetention", t.ClaimRetention)
	checkPositive(problems, "Traffic.ClaimInterval", t.ClaimInterval)
}

const (
	// memoryPerMaxBody leaves room for one body of the largest size: a chunked one takes up to 2.5 times its size while it is read, and a quarter
	// of Ingress.Memory is reserved for small requests.
	memoryPerMaxBody = 4
	// entryMemoryShare is the inverse of the share of an entry's memory that Ingress.Memory has by default.
	entryMemoryShare = 5
)

// maxHeaderTimeout is the longest time for a header that the server supports.
const maxHeaderTimeout = 30 * time.Second

func (i Ingress) check(traffic Traffic, problems *problems) {
	if least := memoryPerMaxBody * traffic.MaxBody; i.Memory != 0 && i.Memory < least {
		problems.addAt("Ingress.Memory", "must be at least %d times Traffic.MaxBody, %d bytes", memoryPerMaxBody, least)
	}
	if i.Connections < 0 {
		problems.addAt("Ingress.Connections", "must not be negative")
	}
	if i.HeaderTimeout > maxHeaderTimeout {
		problems.addAt("Ingress.HeaderTimeout", "must not be longer than %s", maxHeaderTimeout)
	}
	checkPositive(problems, "Ingress.HeaderTimeout", i.HeaderTimeout)
	checkPositive(problems, "Ingress.BodyStall", i.BodyStall)
	checkPositive(problems, "Ingress.BodyTimeout", i.BodyTimeout)
	checkPositive(problems, "Ingress.PressureStall", i.PressureStall)
	if i.PressureStall > i.BodyStall {
		problems.addAt("Ingress.PressureStall", "must not be longer than BodyStall %s", i.BodyStall)
	}
}

func (c Control) check(problems *problems) {
	checkPositive(problems, "Control.PollInterval", c.PollInterval)
	checkPositive(problems, "Control.ViewLimit", c.ViewLimit)
	checkPositive(problems, "Control.RoundInterval", c.RoundInterval)
	if c.LeaseRenewal >= c.LeaseTerm {
		problems.addAt("Control.LeaseRenewal", "must be shorter than LeaseTerm %s", c.LeaseTerm)
	}
	if c.PollInterval >= c.ViewLimit {
		problems.addAt("Control.PollInterval", "must be shorter than ViewLimit %s", c.ViewLimit)
	}
}

func (p Peers) check(problems *problems) {
	if len(p.Key) < minPeerKey {
		problems.addAt("Peers.Key", "must have at least %d bytes", minPeerKey)
	}
}

func (w Weights) check(problems *problems) {
	for _, weight := range []struct {
		name  string
		value float64
	}{{"Reserve", w.Reserve}, {"Moves", w.Moves}, {"RollOut", w.RollOut}, {"Protection", w.Protection}} {
		if weight.value < 0 {
			problems.addAt("Weights."+weight.name, "must not be negative")
		}
	}
}

func checkPositive(problems *problems, path string, value time.Duration) {
	if value <= 0 {
		problems.addAt(path, "must be greater than 0s")
	}
}
