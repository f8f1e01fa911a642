// Package changelog keeps the ordered log of changes in the table service and folds it into the control state.
package changelog
