// Package audit reads the audit trail, the records of the change log, and archives it in the object store.
package audit
