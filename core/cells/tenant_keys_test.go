package cells

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// referenceFind returns the result that keyTable.find must return. It is a linear search over all keys.
func referenceFind(keys []TenantKey, group int, class, object, declaredTenant string) int {
	return slices.IndexFunc(keys, func(k TenantKey) bool {
		return (k.Class == "" || k.Class == class) && k.matchesGroup(group) &&
			(k.DeclaredTenant == "" || k.DeclaredTenant == declaredTenant) &&
			strings.HasPrefix(object, k.ObjectPrefix)
	})
}

// drawKeys returns a random list of keys. The last one matches all requests.
func drawKeys(t *rapid.T) []TenantKey {
	hex := rapid.StringMatching("[0-3]{0,3}")
	keys := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) TenantKey {
		key := TenantKey{
			ObjectPrefix:   hex.Draw(t, "prefix"),
			Class:          rapid.SampledFrom([]string{"", "page", "report"}).Draw(t, "class"),
			DeclaredTenant: rapid.SampledFrom([]string{"", "", "q"}).Draw(t, "declared"),
			Tenant:         "heavy",
		}
		if rapid.Bool().Draw(t, "has groups") {
			first := rapid.IntRange(0, 255).Draw(t, "first")
			key.PurgeGroupRange = []int{first, rapid.IntRange(first, 255).Draw(t, "last")}
		}
		return key
	}), 0, 40).Draw(t, "keys")
	return append(keys, TenantKey{Tenant: "normal"})
}

// The table must find the same key as a linear search. In a list that validateReachable accepts, every key with a
// prefix of the maximum length must be found by some request.
func TestKeyTableAgreesWithLinearSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keys := drawKeys(t)
		table := newKeyTable(keys)
		for range 30 {
			group := rapid.IntRange(0, 255).Draw(t, "group")
			class := rapid.SampledFrom([]string{"page", "report", "other"}).Draw(t, "class")
			object := rapid.StringMatching("[0-4]{0,4}").Draw(t, "object")
			declared := rapid.SampledFrom([]string{"", "q", "x"}).Draw(t, "declared")
			got, want := table.find(group, class, object, declared), referenceFind(keys, group, class, object, declared)
			if got != want {
				t.Fatalf("group %d, class %q, object %q, tenant %q: key %d, want %d",
					group, class, object, declared, got, want)
			}
		}
		if err := validateReachable(keys); err != nil {
			return
		}
		for i, key := range keys {
			// validateReachable does not detect that several keys with longer prefixes together cover a key. So only
			// keys with a prefix of the maximum length, 3, are checked.
			if len(key.ObjectPrefix) == 3 && !isReachable(keys, i) {
				t.Fatalf("key %d of %+v is found by no request, but validateReachable accepts it", i, keys)
			}
		}
	})
}

// isReachable reports whether referenceFind returns the key with the given index for some request.
func isReachable(keys []TenantKey, index int) bool {
	key := &keys[index]
	for group := range purgeGroupCount {
		for _, class := range []string{"page", "report", "other"} {
			for _, rest := range []string{"", "f", "0", "1", "2", "3"} {
				if referenceFind(keys, group, class, key.ObjectPrefix+rest, key.DeclaredTenant) == index {
					return true
				}
			}
		}
	}
	return false
}

func BenchmarkKeyTable(b *testing.B) {
	for _, size := range []int{100, 10_000, 100_000} {
		spec := manyTenants(size, 64)
		table := newKeyTable(spec.TenantKeys)
		object := fmt.Sprintf("%05x%011x", size/2, 1)
		b.Run(fmt.Sprintf("trie/keys=%d", size), func(b *testing.B) {
			for b.Loop() {
				table.find(7, "page", object, "")
			}
		})
		b.Run(fmt.Sprintf("linear/keys=%d", size), func(b *testing.B) {
			for b.Loop() {
				referenceFind(spec.TenantKeys, 7, "page", object, "")
			}
		})
	}
}
