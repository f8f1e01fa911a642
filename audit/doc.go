// Package audit reads the trail of changes and archives it in the object store.
package audit
