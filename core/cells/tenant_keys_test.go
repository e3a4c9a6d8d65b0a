package cells

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// referenceFind compares all keys in order: find must agree with it.
func referenceFind(keys []TenantKey, group int, class, object, declaredTenant string) int {
	return slices.IndexFunc(keys, func(k TenantKey) bool {
		return (k.Class == "" || k.Class == class) && k.matchesGroup(group) &&
			(k.DeclaredTenant == "" || k.DeclaredTenant == declaredTenant) &&
			strings.HasPrefix(object, k.ObjectPrefix)
	})
}

func drawKeys(t *rapid.T) []TenantKey {
	hex := rapid.StringMatching("[0-3]{0,3}")
	keys := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) TenantKey {
		key := TenantKey{
			ObjectPrefix:   hex.Draw(t, "prefix"),
			Class:          rapid.SampledFrom([]string{"", "page", "report"}).Draw(t, "class"),
			DeclaredTenant: rapid.SampledFrom([]string{"", "", "q"}).Draw(t, "declared"),
			Tenant:         "loud",
		}
		if rapid.Bool().Draw(t, "has groups") {
			first := rapid.IntRange(0, 255).Draw(t, "first")
			key.PurgeGroupRange = []int{first, rapid.IntRange(first, 255).Draw(t, "last")}
		}
		return key
	}), 0, 40).Draw(t, "keys")
	return append(keys, TenantKey{Tenant: "calm"})
}

// The table finds what a linear search finds; and a key that Check lets through is found by some request.
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
				t.Fatalf("%d %q %q %q: key %d, want %d", group, class, object, declared, got, want)
			}
		}
		if err := validateReachable(keys); err != nil {
			return
		}
		for i, key := range keys {
			// Longer prefixes than any key's can't be covered in parts.
			if len(key.ObjectPrefix) == 3 && !isFoundBySome(keys, i) {
				t.Fatalf("key %d of %+v is never found, and Check said nothing", i, keys)
			}
		}
	})
}

// isFoundBySome reports whether some request finds a key.
func isFoundBySome(keys []TenantKey, index int) bool {
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
		b.Run(fmt.Sprintf("trie/lines=%d", size), func(b *testing.B) {
			for b.Loop() {
				table.find(7, "page", object, "")
			}
		})
		b.Run(fmt.Sprintf("plain/lines=%d", size), func(b *testing.B) {
			for b.Loop() {
				referenceFind(spec.TenantKeys, 7, "page", object, "")
			}
		})
	}
}
