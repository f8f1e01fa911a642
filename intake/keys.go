package intake

import (
	"cmp"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/acaciatally/acaciatally"
)

// keyIndex finds the account of a key. Keys with the same first bytes of their digest are next to each other in entries, and first holds the
// position of the first of them.
type keyIndex struct {
	first   map[uint64]int32
	entries []keyEntry
}

type keyEntry struct {
	digest  acaciatally.KeyDigest
	account acaciatally.AccountName
}

// prefix returns the part of the digest by which the index is searched.
func prefix(digest acaciatally.KeyDigest) uint64 { return binary.BigEndian.Uint64(digest[:]) }

// newKeyIndex returns the index of the keys of all accounts. A key of several accounts belongs to the first of them by name, so that all entries
// agree.
func newKeyIndex(accounts map[acaciatally.AccountName]acaciatally.Account) *keyIndex {
	count := 0
	for _, account := range accounts {
		count += len(account.Keys)
	}
	index := &keyIndex{first: make(map[uint64]int32, count), entries: make([]keyEntry, 0, count)}
	for _, name := range slices.Sorted(maps.Keys(accounts)) {
		for _, digest := range accounts[name].Keys {
			index.entries = append(index.entries, keyEntry{digest: digest, account: name})
		}
	}
	slices.SortStableFunc(index.entries, func(a, b keyEntry) int { return cmp.Compare(prefix(a.digest), prefix(b.digest)) })
	for position := len(index.entries) - 1; position >= 0; position-- {
		index.first[prefix(index.entries[position].digest)] = int32(position)
	}
	return index
}

// find returns the account of a key. The map is searched by a part of the digest, which does not help a caller to guess a key; the whole digest is
// compared in constant time.
func (x *keyIndex) find(key string) (account acaciatally.AccountName, found bool) {
	if key == "" {
		return "", false
	}
	digest := acaciatally.KeyDigest(sha256.Sum256([]byte(key)))
	position, known := x.first[prefix(digest)]
	if !known {
		return "", false
	}
	for _, entry := range x.entries[position:] {
		if prefix(entry.digest) != prefix(digest) {
			break
		}
		if subtle.ConstantTimeCompare(entry.digest[:], digest[:]) == 1 {
			return entry.account, true
		}
	}
	return "", false
}
