package cells

// keyTable finds the first line of the key table that a request matches. Lines that the front's name for a tenant
// decides are found by that name, the others by a trie over the object's hex digits; each holds few lines.
type keyTable struct {
	keys             []TenantKey
	byDeclaredTenant map[string][]int32
	trie             []trieNode
}

type trieNode struct {
	child   [16]int32 // 0: none
	keys    []int32   // that begin with the digits down to here, in order
	byGroup *[purgeGroupCount][]int32
}

// maxKeysScanned are looked through one by one; more are sorted by family first.
const maxKeysScanned = 8

func newKeyTable(lines []TenantKey) *keyTable {
	t := &keyTable{keys: lines, byDeclaredTenant: map[string][]int32{}, trie: make([]trieNode, 1)}
	for i, k := range lines {
		if k.DeclaredTenant != "" {
			t.byDeclaredTenant[k.DeclaredTenant] = append(t.byDeclaredTenant[k.DeclaredTenant], int32(i))
			continue
		}
		at := int32(0)
		for _, c := range []byte(k.ObjectPrefix) {
			d := hexDigit(c)
			if t.trie[at].child[d] == 0 {
				t.trie[at].child[d] = int32(len(t.trie))
				t.trie = append(t.trie, trieNode{})
			}
			at = t.trie[at].child[d]
		}
		t.trie[at].keys = append(t.trie[at].keys, int32(i))
	}
	for i := range t.trie {
		n := &t.trie[i]
		if len(n.keys) <= maxKeysScanned {
			continue
		}
		n.byGroup = new([purgeGroupCount][]int32)
		for f := range n.byGroup {
			for _, l := range n.keys {
				if t.keys[l].matchesGroup(f) {
					n.byGroup[f] = append(n.byGroup[f], l)
				}
			}
		}
	}
	return t
}

func hexDigit(c byte) int {
	switch {
	case c >= '0' && c <= '9':
		return int(c - '0')
	case c >= 'a' && c <= 'f':
		return int(c-'a') + 10
	}
	return -1
}

func (k *TenantKey) matchesGroup(family int) bool {
	return k.PurgeGroupRange == nil || family >= k.PurgeGroupRange[0] && family <= k.PurgeGroupRange[1]
}

// find returns the first line that matches; the last one matches everything.
func (t *keyTable) find(family int, class, object, named string) int {
	best := int32(len(t.keys) - 1)
	look := func(lines []int32, whole bool) {
		for _, l := range lines {
			if l >= best {
				return
			}
			k := &t.keys[l]
			if (k.Class == "" || k.Class == class) && k.matchesGroup(family) && (!whole || len(k.ObjectPrefix) <= len(object) && object[:len(k.ObjectPrefix)] == k.ObjectPrefix) {
				best = l
				return
			}
		}
	}
	if named != "" {
		look(t.byDeclaredTenant[named], true)
	}
	at := int32(0)
	for i := 0; ; i++ {
		n := &t.trie[at]
		if n.byGroup != nil && family >= 0 && family < purgeGroupCount {
			look(n.byGroup[family], false)
		} else {
			look(n.keys, false)
		}
		if i >= len(object) {
			break
		}
		d := hexDigit(object[i])
		if d < 0 || n.child[d] == 0 {
			break
		}
		at = n.child[d]
	}
	return int(best)
}
