package audit

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/samber/oops"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/changelog"
	"github.com/acaciatally/acaciatally/fleet"
)

const (
	// BlockRecords is the number of records in one archive object.
	BlockRecords = 500
	// readBatch is the maximum number of rows in one read of the table service; larger reads would delay those of the control path.
	readBatch     = 100
	archivePrefix = "Audit/"
)

// Config holds the dependencies of a Trail.
type Config struct {
	Table   acaciatally.TableService
	Objects acaciatally.ObjectStore
}

// Trail is the audit trail: recent records from the change log and older ones from archived blocks of BlockRecords records.
type Trail struct {
	config Config
}

// New returns the audit trail of the change log in the table service.
func New(config Config) *Trail {
	return &Trail{config: config}
}

// Latest returns up to limit records, newest first, from the change log and, for older records, from the archive.
func (t *Trail) Latest(ctx context.Context, limit int) (records []fleet.Record, err error) {
	defer func() { err = oops.In("audit").Wrapf(err, "read latest records") }()
	head, err := changelog.ReadHead(ctx, t.config.Table)
	if err != nil {
		return nil, err
	}
	version := head
	for version > 0 && len(records) < limit {
		batch, err := t.readBackwards(ctx, version, min(readBatch, limit-len(records)))
		if err != nil {
			return nil, err
		}
		if len(batch) == 0 {
			return records, nil
		}
		records = append(records, batch...)
		version = batch[len(batch)-1].Version - 1
	}
	return records, nil
}

// readBackwards returns up to count records from version downwards, newest first. It reads the archive if the record of version is no
// longer in the change log.
func (t *Trail) readBackwards(ctx context.Context, version uint64, count int) ([]fleet.Record, error) {
	lowest := version - min(version, uint64(count)) + 1
	records, err := t.readLog(ctx, lowest, version)
	if err != nil {
		return nil, err
	}
	if len(records) == 0 || records[len(records)-1].Version != version {
		if records, err = t.readArchive(ctx, version); err != nil {
			return nil, err
		}
	}
	slices.Reverse(records)
	return records[:min(count, len(records))], nil
}

// readLog returns the records from version first to last that are still in the change log, in ascending order.
func (t *Trail) readLog(ctx context.Context, first, last uint64) (records []fleet.Record, err error) {
	var keys []string
	for version := first; version <= last; version++ {
		keys = append(keys, changelog.RecordKey(version))
	}
	rows, err := t.config.Table.Read(ctx, keys...)
	if err != nil {
		return nil, err
	}
	for _, row := range rows {
		var record fleet.Record
		if err = json.Unmarshal(row.Value, &record); err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

// readArchive returns the records up to version of the archived block that contains it, in ascending order, or none if the block does not
// exist.
func (t *Trail) readArchive(ctx context.Context, version uint64) (records []fleet.Record, err error) {
	content, err := t.config.Objects.Get(ctx, blockName(blockStart(version)))
	if errors.Is(err, acaciatally.ErrNoObject) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	decoder := json.NewDecoder(bytes.NewReader(content))
	for decoder.More() {
		var record fleet.Record
		if err = decoder.Decode(&record); err != nil {
			return nil, err
		}
		if record.Version <= version {
			records = append(records, record)
		}
	}
	return records, nil
}

// blockStart returns the first version of the block that contains version.
func blockStart(version uint64) uint64 {
	return (version-1)/BlockRecords*BlockRecords + 1
}

func blockName(first uint64) string {
	return fmt.Sprintf("%s%020d-%020d", archivePrefix, first, first+BlockRecords-1)
}

// Archive writes every complete block that is not archived yet and returns the last archived version. The content of a block does not
// depend on the entry that writes it, so several entries may archive at the same time.
func (t *Trail) Archive(ctx context.Context) (archived uint64, err error) {
	defer func() { err = oops.In("audit").Wrapf(err, "archive records") }()
	head, err := changelog.ReadHead(ctx, t.config.Table)
	if err != nil {
		return 0, err
	}
	if archived, err = t.lastArchived(ctx); err != nil {
		return 0, err
	}
	for archived+BlockRecords <= head {
		if err = t.archiveBlock(ctx, archived+1); err != nil {
			return archived, err
		}
		archived += BlockRecords
	}
	return archived, nil
}

// Store archives the complete blocks. It fails if some of the records are not archived afterwards, so that the change log keeps them.
func (t *Trail) Store(ctx context.Context, records []fleet.Record) (err error) {
	if len(records) == 0 {
		return nil
	}
	archived, err := t.Archive(ctx)
	if err != nil {
		return err
	}
	if last := records[len(records)-1].Version; last > archived {
		return oops.In("audit").Errorf("records are archived up to version %d only, want %d", archived, last)
	}
	return nil
}

func (t *Trail) lastArchived(ctx context.Context) (uint64, error) {
	names, err := t.config.Objects.List(ctx, archivePrefix)
	if err != nil || len(names) == 0 {
		return 0, err
	}
	var first, last uint64
	name := strings.TrimPrefix(names[len(names)-1], archivePrefix)
	if _, err = fmt.Sscanf(name, "%d-%d", &first, &last); err != nil {
		return 0, err
	}
	return last, nil
}

func (t *Trail) archiveBlock(ctx context.Context, first uint64) error {
	var content bytes.Buffer
	encoder := json.NewEncoder(&content)
	for lowest := first; lowest < first+BlockRecords; lowest += readBatch {
		records, err := t.readLog(ctx, lowest, lowest+readBatch-1)
		if err != nil {
			return err
		}
		if len(records) != readBatch {
			return fmt.Errorf("change log holds only %d of %d records from version %d on", len(records), readBatch, lowest)
		}
		for _, record := range records {
			if err = encoder.Encode(record); err != nil {
				return err
			}
		}
	}
	return t.config.Objects.Put(ctx, blockName(first), content.Bytes())
}
