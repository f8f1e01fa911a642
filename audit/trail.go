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
	// readBatch bounds the rows of one read, so that a long query does not delay the reads of the control path.
	readBatch     = 100
	archivePrefix = "Audit/"
)

// Config is what a Trail needs.
type Config struct {
	Table   acaciatally.TableService
	Objects acaciatally.ObjectStore
}

// Trail is the audit trail: the records of the log, of which whole blocks are archived.
type Trail struct {
	config Config
}

// New returns the trail of the log in the table service.
func New(config Config) *Trail {
	return &Trail{config: config}
}

// Latest returns up to limit records, newest first, from the log and then from the archive.
func (t *Trail) Latest(ctx context.Context, limit int) (records []fleet.Record, err error) {
	defer func() { err = oops.In("audit").Wrapf(err, "read latest records") }()
	head, err := changelog.ReadHead(ctx, t.config.Table)
	if err != nil {
		return nil, err
	}
	version := head
	for version > 0 && len(records) < limit {
		batch, err := t.before(ctx, version, min(readBatch, limit-len(records)))
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

// before returns up to count records down from version, newest first.
func (t *Trail) before(ctx context.Context, version uint64, count int) ([]fleet.Record, error) {
	lowest := version - min(version, uint64(count)) + 1
	records, err := t.read(ctx, lowest, version)
	if err != nil {
		return nil, err
	}
	if len(records) == 0 || records[len(records)-1].Version != version {
		if records, err = t.archived(ctx, version); err != nil {
			return nil, err
		}
	}
	slices.Reverse(records)
	return records[:min(count, len(records))], nil
}

// read returns the records from first to last that are still rows of the log, in order.
func (t *Trail) read(ctx context.Context, first, last uint64) (records []fleet.Record, err error) {
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

// archived returns the records of the block that holds version, up to version and in order.
func (t *Trail) archived(ctx context.Context, version uint64) (records []fleet.Record, err error) {
	content, err := t.config.Objects.Get(ctx, blockName(blockOf(version)))
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

// blockOf returns the first version of the block that holds version.
func blockOf(version uint64) uint64 {
	return (version-1)/BlockRecords*BlockRecords + 1
}

func blockName(first uint64) string {
	return fmt.Sprintf("%s%020d-%020d", archivePrefix, first, first+BlockRecords-1)
}

// Archive writes every whole block that is not archived yet and returns the last archived version. Blocks are the same whoever
// writes them, so entries that archive at the same time do no harm.
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

// Store archives whole blocks and fails while the records are not all part of one, so that the log keeps them.
func (t *Trail) Store(ctx context.Context, records []fleet.Record) (err error) {
	if len(records) == 0 {
		return nil
	}
	archived, err := t.Archive(ctx)
	if err != nil {
		return err
	}
	if last := records[len(records)-1].Version; last > archived {
		return oops.In("audit").Errorf("records up to %d are archived, not yet %d", archived, last)
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
		records, err := t.read(ctx, lowest, lowest+readBatch-1)
		if err != nil {
			return err
		}
		if len(records) != readBatch {
			return fmt.Errorf("log holds %d of %d records from version %d on", len(records), readBatch, lowest)
		}
		for _, record := range records {
			if err = encoder.Encode(record); err != nil {
				return err
			}
		}
	}
	return t.config.Objects.Put(ctx, blockName(first), content.Bytes())
}
