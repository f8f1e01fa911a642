package settings

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/acaciatally/acaciatally"
)

// tasksPath is the first path segment under which callers reach their tasks, so no pool can have this name.
const tasksPath = "tasks"

// minPeerKey is the shortest shared key in bytes that the peers' handshake accepts.
const minPeerKey = 16

// check reports every value that no deployment can run with.
func (s *Settings) check(problems *problems) {
	if s.Deployment == "" {
		problems.at("Deployment", "is missing")
	}
	if !s.Platform.Address.IsValid() {
		problems.at("Platform.Address", "is missing")
	}
	s.checkEntries(problems)
	s.checkPools(problems)
	s.checkTeams(problems)
	s.Traffic.check(problems)
	s.Control.check(problems)
	s.Peers.check(problems)
	s.Weights.check(problems)
	for i, operator := range s.Operators {
		if operator.Name == "" || operator.Token == "" {
			problems.at(fmt.Sprintf("Operators[%d]", i), "needs Name and Token")
		}
	}
}

func (s *Settings) knows(dataCentre acaciatally.DataCentre) bool {
	for _, known := range s.DataCentres {
		if known == dataCentre {
			return true
		}
	}
	return false
}

func (s *Settings) checkEntries(problems *problems) {
	if len(s.Entries) == 0 {
		problems.at("Entries", "needs at least one entry")
	}
	ids := map[acaciatally.EntryID]bool{}
	addresses := addressBook{owners: map[netip.AddrPort]string{}, problems: problems}
	for i, entry := range s.Entries {
		path := fmt.Sprintf("Entries[%d]", i)
		if entry.ID == "" || ids[entry.ID] {
			problems.at(path+".ID", "%q is missing or stands twice", entry.ID)
		}
		ids[entry.ID] = true
		if !s.knows(entry.DataCentre) {
			problems.at(path+".DataCentre", "%q is not in DataCentres", entry.DataCentre)
		}
		addresses.add(path+".CallerAddress", entry.CallerAddress)
		addresses.add(path+".OperatorAddress", entry.OperatorAddress)
		addresses.add(path+".PeerAddress", entry.PeerAddress)
	}
}

// addressBook finds addresses that are missing or stand twice.
type addressBook struct {
	owners   map[netip.AddrPort]string
	problems *problems
}

func (b addressBook) add(path string, address netip.AddrPort) {
	if !address.IsValid() {
		b.problems.at(path, "is missing")
		return
	}
	if owner, found := b.owners[address]; found {
		b.problems.at(path, "%s is used by %s already", address, owner)
		return
	}
	b.owners[address] = path
}

func (s *Settings) checkPools(problems *problems) {
	names := map[acaciatally.PoolName]bool{}
	ids := map[acaciatally.InstanceID]bool{}
	addresses := addressBook{owners: map[netip.AddrPort]string{}, problems: problems}
	spare := ""
	for i, pool := range s.Pools {
		path := fmt.Sprintf("Pools[%d]", i)
		if pool.Name == "" || names[pool.Name] {
			problems.at(path+".Name", "%q is missing or stands twice", pool.Name)
		}
		if pool.Name == tasksPath {
			problems.at(path+".Name", "%q is the path of tasks", pool.Name)
		}
		names[pool.Name] = true
		if pool.Spare && spare != "" {
			problems.at(path+".Spare", "pool %s is the spare pool already", spare)
		}
		if pool.Spare {
			spare = string(pool.Name)
		}
		if pool.MinAvailable < 0 || pool.MaxUnavailable < 0 || pool.MinAvailable > len(pool.Instances) {
			problems.at(path+".MinAvailable", "budget must lie between 0 and the %d instances", len(pool.Instances))
		}
		for j, instance := range pool.Instances {
			s.checkInstance(instance, fmt.Sprintf("%s.Instances[%d]", path, j), ids, addresses, problems)
		}
	}
}

func (s *Settings) checkInstance(
	instance Instance, path string, ids map[acaciatally.InstanceID]bool, addresses addressBook, problems *problems,
) {
	if instance.ID == "" || ids[instance.ID] {
		problems.at(path+".ID", "%q is missing or stands twice", instance.ID)
	}
	ids[instance.ID] = true
	if !s.knows(instance.DataCentre) {
		problems.at(path+".DataCentre", "%q is not in DataCentres", instance.DataCentre)
	}
	if instance.Rack == "" {
		problems.at(path+".Rack", "is missing")
	}
	if instance.Slots < 0 || instance.Connections < instance.Slots {
		problems.at(path+".Connections", "%d connections cannot carry %d slots", instance.Connections, instance.Slots)
	}
	addresses.add(path+".Address", instance.Address)
}

func (s *Settings) checkTeams(problems *problems) {
	names := map[acaciatally.TeamName]bool{}
	for i, team := range s.Teams {
		path := fmt.Sprintf("Teams[%d]", i)
		if team.Name == "" || names[team.Name] {
			problems.at(path+".Name", "%q is missing or stands twice", team.Name)
		}
		names[team.Name] = true
		if team.Quota < 0 {
			problems.at(path+".Quota", "is negative")
		}
	}
}

func (t Traffic) check(problems *problems) {
	for _, floor := range []struct {
		name  string
		value float64
	}{{"Urgent", t.Floors.Urgent}, {"Normal", t.Floors.Normal}, {"Background", t.Floors.Background}} {
		if floor.value < 0 || floor.value > 1 {
			problems.at("Traffic.Floors."+floor.name, "must lie between 0 and 1")
		}
	}
	if t.Floors.Urgent+t.Floors.Normal+t.Floors.Background > 1 {
		problems.at("Traffic.Floors", "shares add up to more than 1")
	}
	if t.RetryBudget < 0 || t.RetryBudget > 1 {
		problems.at("Traffic.RetryBudget", "must lie between 0 and 1")
	}
	if t.DefaultDeadline > t.MaxDeadline {
		problems.at("Traffic.DefaultDeadline", "is longer than MaxDeadline %s", t.MaxDeadline)
	}
	positive(problems, "Traffic.ConnectTimeout", t.ConnectTimeout)
	positive(problems, "Traffic.ClaimRetention", t.ClaimRetention)
	positive(problems, "Traffic.ClaimInterval", t.ClaimInterval)
}

func (c Control) check(problems *problems) {
	positive(problems, "Control.PollInterval", c.PollInterval)
	positive(problems, "Control.ViewLimit", c.ViewLimit)
	positive(problems, "Control.RoundInterval", c.RoundInterval)
	if c.LeaseRenewal >= c.LeaseTerm {
		problems.at("Control.LeaseRenewal", "must be shorter than LeaseTerm %s", c.LeaseTerm)
	}
	if c.PollInterval >= c.ViewLimit {
		problems.at("Control.PollInterval", "must be shorter than ViewLimit %s", c.ViewLimit)
	}
}

func (p Peers) check(problems *problems) {
	if len(p.Key) < minPeerKey {
		problems.at("Peers.Key", "must have at least %d characters", minPeerKey)
	}
}

func (w Weights) check(problems *problems) {
	for _, weight := range []struct {
		name  string
		value float64
	}{{"Reserve", w.Reserve}, {"Moves", w.Moves}, {"RollOut", w.RollOut}, {"Protection", w.Protection}} {
		if weight.value < 0 {
			problems.at("Weights."+weight.name, "is negative")
		}
	}
}

func positive(problems *problems, path string, value time.Duration) {
	if value <= 0 {
		problems.at(path, "must be longer than 0s")
	}
}
