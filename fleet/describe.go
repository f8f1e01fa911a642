package fleet

import (
	"fmt"
	"strings"
)

// Describe returns the subject of a change and what happens to it.
func (c Change) Describe() (subject, what string) {
	switch {
	case c.PutPool != nil:
		return "pool " + string(c.PutPool.Name),
			fmt.Sprintf("budget unavailable %d available %d", c.PutPool.MaxUnavailable, c.PutPool.MinAvailable)
	case c.RemovePool != nil:
		return "pool " + string(c.RemovePool.Name), "removed"
	case c.PutTeam != nil:
		return "team " + string(c.PutTeam.Name), fmt.Sprintf("quota %d", c.PutTeam.Quota)
	case c.RemoveTeam != nil:
		return "team " + string(c.RemoveTeam.Name), "removed"
	case c.AddInstance != nil:
		return "instance " + string(c.AddInstance.ID), "added to " + string(c.AddInstance.Pool)
	case c.RemoveInstance != nil:
		return "instance " + string(c.RemoveInstance.ID), "removed"
	case c.MoveInstance != nil:
		return "instance " + string(c.MoveInstance.ID), fmt.Sprintf("moved from %s to %s", c.MoveInstance.From, c.MoveInstance.To)
	case c.SetPhase != nil:
		return "instance " + string(c.SetPhase.ID), strings.TrimSpace(fmt.Sprintf("%s %s", c.SetPhase.Phase, c.SetPhase.Cause))
	case c.PutWave != nil:
		return "wave " + c.PutWave.ID, string(c.PutWave.State)
	case c.SetOption != nil:
		return "option " + c.SetOption.Name, "set to " + c.SetOption.Value
	}
	return "", ""
}
