package claim

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
)

// FuzzDecode guards against invalid rows that are accepted as claims, and against panics on arbitrary input.
func FuzzDecode(f *testing.F) {
	row := Row{Holder: "entry-1", Nonce: "n", BodyHash: "h", State: Done, Answer: &RecordedAnswer{Status: 200, Body: []byte("ok"), Kept: true}}
	f.Add(row.Encode())
	f.Add([]byte(`{"State":"Claimed","Nonce":"n","BodyHash":"h"}`))
	f.Add([]byte(`{"State":"Done","Nonce":"n","BodyHash":"h"}`))
	f.Add([]byte(`{`))
	f.Fuzz(func(t *testing.T, value []byte) {
		row, err := Decode(value)
		if err != nil {
			return
		}
		require.True(t, row.State != Done || row.Answer != nil)
		again, err := Decode(row.Encode())
		require.NoError(t, err)
		require.Equal(t, row.Encode(), again.Encode())
	})
}

// TestHash guards against a reused id with another method, path or body that is taken for the same request instead of being refused
// with status 422.
func TestHash(t *testing.T) {
	base := acaciatally.Request{Method: "POST", Path: "/coating/a", Body: []byte("b")}
	for name, other := range map[string]acaciatally.Request{
		"method": {Method: "PUT", Path: "/coating/a", Body: []byte("b")},
		"path":   {Method: "POST", Path: "/coating/c", Body: []byte("b")},
		"body":   {Method: "POST", Path: "/coating/a", Body: []byte("c")},
	} {
		require.NotEqual(t, Hash(base), Hash(other), name)
	}
	require.Equal(t, Hash(base), Hash(base))
}
