// Package changelog stores the ordered log of changes in the table service and replays it into the control state.
package changelog
