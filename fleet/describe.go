package fleet

import (
	"fmt"
	"strings"
)

// Subject returns the kind and the name of the object to which the change applies.
func (c Change) Subject() (kind SubjectKind, name string) {
	switch {
	case c.PutPool != nil:
		return SubjectPool, string(c.PutPool.Name)
	case c.RemovePool != nil:
		return SubjectPool, string(c.RemovePool.Name)
	case c.PutTeam != nil:
		return SubjectTeam, string(c.PutTeam.Name)
	case c.RemoveTeam != nil:
		return SubjectTeam, string(c.RemoveTeam.Name)
	case c.AddInstance != nil:
		return SubjectInstance, string(c.AddInstance.ID)
	case c.RemoveInstance != nil:
		return SubjectInstance, string(c.RemoveInstance.ID)
	case c.MoveInstance != nil:
		return SubjectInstance, string(c.MoveInstance.ID)
	case c.SetPhase != nil:
		return SubjectInstance, string(c.SetPhase.ID)
	case c.PutWave != nil:
		return SubjectWave, c.PutWave.ID
	case c.SetOption != nil:
		return SubjectOption, c.SetOption.Name
	}
	return "", ""
}

// Describe returns the subject of the change and its effect as text for operators.
func (c Change) Describe() (subject, effect string) {
	kind, name := c.Subject()
	return strings.ToLower(string(kind)) + " " + name, c.effect()
}

func (c Change) effect() string {
	switch {
	case c.PutPool != nil:
		return fmt.Sprintf("budget unavailable %d available %d", c.PutPool.MaxUnavailable, c.PutPool.MinAvailable)
	case c.PutTeam != nil:
		return fmt.Sprintf("quota %d", c.PutTeam.Quota)
	case c.AddInstance != nil:
		return "added to " + string(c.AddInstance.Pool)
	case c.MoveInstance != nil:
		return fmt.Sprintf("moved from %s to %s", c.MoveInstance.From, c.MoveInstance.To)
	case c.SetPhase != nil:
		return strings.TrimSpace(fmt.Sprintf("%s %s", c.SetPhase.Phase, c.SetPhase.Cause))
	case c.PutWave != nil:
		return string(c.PutWave.State)
	case c.SetOption != nil:
		return "set to " + c.SetOption.Value
	}
	return "removed"
}
