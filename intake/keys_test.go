package intake

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
)

// accountsWithKeys returns accounts with the given number of keys each.
func accountsWithKeys(accounts, keys int) map[acaciatally.AccountName]acaciatally.Account {
	all := map[acaciatally.AccountName]acaciatally.Account{}
	for i := range accounts {
		account := acaciatally.Account{Name: acaciatally.AccountName(fmt.Sprintf("account-%03d", i))}
		for j := range keys {
			account.Keys = append(account.Keys, sha256.Sum256([]byte(keyText(i, j))))
		}
		all[account.Name] = account
	}
	return all
}

func keyText(account, key int) string {
	return fmt.Sprintf("key-%03d-%05d-0123456789abcdef", account, key)
}

// TestKeyIndex guards against a key that is found for another account, and against a key that no account has being accepted.
func TestKeyIndex(t *testing.T) {
	index := newKeyIndex(accountsWithKeys(20, 50))
	for i := range 20 {
		for j := range 50 {
			account, found := index.find(keyText(i, j))
			require.True(t, found)
			require.EqualValues(t, fmt.Sprintf("account-%03d", i), account)
		}
	}
	digest := sha256.Sum256([]byte(keyText(0, 0)))
	for _, key := range []string{"", " ", "x", keyText(20, 0), keyText(0, 0) + " ", string(digest[:]), fmt.Sprintf("%x", digest)} {
		_, found := index.find(key)
		require.False(t, found, "%q", key)
	}
	_, found := newKeyIndex(map[acaciatally.AccountName]acaciatally.Account{}).find("x")
	require.False(t, found)
}

// TestKeyIndexSamePrefix guards against a key that is accepted because the first bytes of its digest are those of another key, and against one
// that is not found among several with the same first bytes.
func TestKeyIndexSamePrefix(t *testing.T) {
	digest := sha256.Sum256([]byte("key"))
	same, other := digest, digest
	same[31]++
	other[8]++
	accounts := map[acaciatally.AccountName]acaciatally.Account{"a": {Name: "a", Keys: []acaciatally.KeyDigest{same, other}}}
	_, found := newKeyIndex(accounts).find("key")
	require.False(t, found)
	accounts["b"] = acaciatally.Account{Name: "b", Keys: []acaciatally.KeyDigest{digest}}
	account, found := newKeyIndex(accounts).find("key")
	require.True(t, found)
	require.EqualValues(t, "b", account)
	require.Equal(t, binary.BigEndian.Uint64(same[:]), prefix(digest))
}

// TestKeyOfTwoAccounts guards against entries that disagree about the account of a key that the operators have given to two.
func TestKeyOfTwoAccounts(t *testing.T) {
	digest := acaciatally.KeyDigest(sha256.Sum256([]byte("key")))
	for range 20 {
		account, found := newKeyIndex(map[acaciatally.AccountName]acaciatally.Account{
			"b": {Name: "b", Keys: []acaciatally.KeyDigest{digest}}, "a": {Name: "a", Keys: []acaciatally.KeyDigest{digest}},
		}).find("key")
		require.True(t, found)
		require.EqualValues(t, "a", account)
	}
}

// BenchmarkFindKey measures the check of a key among 10,000, for a valid and an unknown key.
func BenchmarkFindKey(b *testing.B) {
	index := newKeyIndex(accountsWithKeys(20, 500))
	for name, key := range map[string]string{"valid": keyText(7, 123), "unknown": "no-such-key-0123456789abcdef"} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				index.find(key)
			}
		})
	}
}

// BenchmarkKeyIndex measures the time to build the index of 10,000 keys, and the memory that it keeps.
func BenchmarkKeyIndex(b *testing.B) {
	accounts := accountsWithKeys(20, 500)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := newKeyIndex(accounts)
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportAllocs()
	for b.Loop() {
		newKeyIndex(accounts)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "kept-B")
	runtime.KeepAlive(kept)
}
