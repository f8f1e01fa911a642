package changelog

import (
	"context"
	"encoding/json"

	"github.com/acaciatally/acaciatally"
)

// Find returns the log version of a command. It fails if the table cannot be read.
func (l *Log) Find(ctx context.Context, command string) (version uint64, found bool, err error) {
	return l.readCommand(ctx, command)
}

// RecordKey returns the key of the row with the record of the version.
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
