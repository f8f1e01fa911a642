package fleet

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"

	"github.com/acaciatally/acaciatally"
)

// parts selects the maps of a state that a set of records changes; only these are copied.
type parts struct {
	pools, instances, teams, waves, options bool
}

func changedParts(records []Record) (p parts) {
	for _, record := range records {
		for _, change := range record.Changes {
			p.pools = p.pools || change.PutPool != nil || change.RemovePool != nil
			p.teams = p.teams || change.PutTeam != nil || change.RemoveTeam != nil
			p.waves = p.waves || change.PutWave != nil
			p.options = p.options || change.SetOption != nil
			p.instances = p.instances || change.AddInstance != nil || change.RemoveInstance != nil ||
				change.MoveInstance != nil || change.SetPhase != nil
		}
	}
	return p
}

// clone returns a copy of the state with copies of the selected maps; the other maps are shared with s.
func (s *State) clone(p parts) *State {
	next := *s
	if p.pools {
		next.Pools = maps.Clone(s.Pools)
	}
	if p.teams {
		next.Teams = maps.Clone(s.Teams)
	}
	if p.waves {
		next.Waves = maps.Clone(s.Waves)
	}
	if p.options {
		next.Options = maps.Clone(s.Options)
	}
	if p.instances {
		next.Instances = maps.Clone(s.Instances)
		next.byPool = maps.Clone(s.index())
	}
	return &next
}

// index returns the members by pool and computes them for a state that was decoded or built without New.
func (s *State) index() map[acaciatally.PoolName][]Instance {
	if s.byPool != nil {
		return s.byPool
	}
	byPool := map[acaciatally.PoolName][]Instance{}
	for _, instance := range s.Instances {
		byPool[instance.Pool] = append(byPool[instance.Pool], instance)
	}
	for _, members := range byPool {
		slices.SortFunc(members, byID)
	}
	return byPool
}

func byID(a, b Instance) int { return cmp.Compare(a.ID, b.ID) }

func (s *State) members(pool acaciatally.PoolName) []Instance {
	return s.index()[pool]
}

// putInstance adds or replaces the instance and keeps it in the member list of exactly one pool.
func (s *State) putInstance(instance Instance, record Record) {
	instance.Version, instance.By, instance.Reason = record.Version, record.By, record.Reason
	if old, found := s.Instances[instance.ID]; found && old.Pool != instance.Pool {
		s.removeMember(old)
	}
	s.Instances[instance.ID] = instance
	members := s.byPool[instance.Pool]
	at, found := slices.BinarySearchFunc(members, instance, byID)
	members = slices.Clone(members)
	if found {
		members[at] = instance
	} else {
		members = slices.Insert(members, at, instance)
	}
	s.byPool[instance.Pool] = members
}

func (s *State) deleteInstance(instance Instance) {
	s.removeMember(instance)
	delete(s.Instances, instance.ID)
}

func (s *State) removeMember(instance Instance) {
	members := slices.Clone(s.byPool[instance.Pool])
	if at, found := slices.BinarySearchFunc(members, instance, byID); found {
		members = slices.Delete(members, at, at+1)
	}
	s.byPool[instance.Pool] = members
}

// Members returns a copy of the list of instances of a pool, sorted by ID.
func (s *State) Members(pool acaciatally.PoolName) []Instance {
	return slices.Clone(s.members(pool))
}

// SharedMembers returns the instances of a pool, sorted by ID, without a copy; the slice must not be modified.
func (s *State) SharedMembers(pool acaciatally.PoolName) []Instance {
	return s.members(pool)
}

// DisruptionsAllowed returns how many more planned disruptions the budget of a pool allows, without regard to failure domains; it may be
// negative.
func (s *State) DisruptionsAllowed(name acaciatally.PoolName) int {
	pool, members := s.Pools[name], s.members(name)
	available := s.AvailableCount(name)
	return min(available-pool.MinAvailable, pool.MaxUnavailable-(len(members)-available))
}

// AvailableCount returns the number of serving instances of a pool.
func (s *State) AvailableCount(pool acaciatally.PoolName) int {
	count := 0
	members := s.members(pool)
	for i := range members {
		if members[i].Phase == Serving {
			count++
		}
	}
	return count
}

// PoolNames returns the sorted names of all pools.
func (s *State) PoolNames() []acaciatally.PoolName {
	return slices.Sorted(maps.Keys(s.Pools))
}

// SparePool returns the name of the spare pool, or an empty string if there is none.
func (s *State) SparePool() acaciatally.PoolName {
	for _, pool := range s.Pools {
		if pool.Spare {
			return pool.Name
		}
	}
	return ""
}

// UnmarshalJSON decodes a state and computes its member lists, which the encoded form leaves out.
func (s *State) UnmarshalJSON(content []byte) (err error) {
	type plain State // without UnmarshalJSON
	decoded := plain(*New())
	decoded.byPool = nil
	if err = json.Unmarshal(content, &decoded); err != nil {
		return err
	}
	*s = State(decoded)
	s.byPool = s.index()
	return nil
}
