package changelog

import (
	"context"
	"encoding/json"

	"github.com/acaciatally/acaciatally"
)

// Find returns the version at which a command stands in the log; it fails when the log cannot be read.
func (l *Log) Find(ctx context.Context, command string) (version uint64, found bool, err error) {
	return l.readBack(ctx, command)
}

// RecordKey returns the key of the row that holds the record of that version.
func RecordKey(version uint64) string {
	return recordKey(version)
}

// ReadHead returns the version of the newest record, or 0 for an empty log.
func ReadHead(ctx context.Context, table acaciatally.TableService) (version uint64, err error) {
	rows, err := table.Read(ctx, headKey)
	if err != nil || len(rows) == 0 {
		return 0, err
	}
	var head headRow
	err = json.Unmarshal(rows[0].Value, &head)
	return head.Version, err
}
