package cells

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// referenceFind looks through all lines: what find must agree with.
func referenceFind(lines []TenantKey, family int, class, object, named string) int {
	return slices.IndexFunc(lines, func(k TenantKey) bool {
		return (k.Class == "" || k.Class == class) && k.matchesGroup(family) && (k.DeclaredTenant == "" || k.DeclaredTenant == named) &&
			len(k.ObjectPrefix) <= len(object) && object[:len(k.ObjectPrefix)] == k.ObjectPrefix
	})
}

func drawKeys(t *rapid.T) []TenantKey {
	hex := rapid.StringMatching("[0-3]{0,3}")
	keys := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) TenantKey {
		k := TenantKey{ObjectPrefix: hex.Draw(t, "prefix"), Class: rapid.SampledFrom([]string{"", "page", "report"}).Draw(t, "class"),
			DeclaredTenant: rapid.SampledFrom([]string{"", "", "q"}).Draw(t, "named"), Tenant: "loud"}
		if rapid.Bool().Draw(t, "families") {
			first := rapid.IntRange(0, 255).Draw(t, "first")
			k.PurgeGroupRange = []int{first, rapid.IntRange(first, 255).Draw(t, "last")}
		}
		return k
	}), 0, 40).Draw(t, "keys")
	return append(keys, TenantKey{Tenant: "calm"})
}

// The table finds what a look through all lines finds; and a line that Check lets through is found by some request.
func TestKeyTableAgreesWithLinearSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keys := drawKeys(t)
		table := newKeyTable(keys)
		for range 30 {
			family, class := rapid.IntRange(0, 255).Draw(t, "f"), rapid.SampledFrom([]string{"page", "report", "other"}).Draw(t, "c")
			object, named := rapid.StringMatching("[0-4]{0,4}").Draw(t, "o"), rapid.SampledFrom([]string{"", "q", "x"}).Draw(t, "n")
			if got, want := table.find(family, class, object, named), referenceFind(keys, family, class, object, named); got != want {
				t.Fatalf("%d %q %q %q: line %d, want %d", family, class, object, named, got, want)
			}
		}
		if err := checkReachable(keys); err != nil {
			return
		}
		for i, k := range keys {
			found := false
			for f := 0; f < purgeGroupCount && !found; f++ {
				for _, class := range []string{"page", "report", "other"} {
					for _, tail := range []string{"", "f", "0", "1", "2", "3"} {
						object := k.ObjectPrefix + tail
						found = found || referenceFind(keys, f, class, object, k.DeclaredTenant) == i
					}
				}
			}
			if !found && len(k.ObjectPrefix) == 3 { // longer prefixes than any line's can't be shadowed by parts
				t.Fatalf("line %d of %+v is never found, and Check said nothing", i, keys)
			}
		}
	})
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
