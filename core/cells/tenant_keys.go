package cells

// keyTable finds the first key that matches a request. A key with a declared tenant is indexed by the tenant's name.
// The other keys are in a trie over the object's hex digits. Few keys are therefore compared for each request.
type keyTable struct {
	keys             []TenantKey
	byDeclaredTenant map[string][]int32 // indexes of keys, ascending
	trie             []trieNode         // the first node is the root
}

// trieNode holds the keys whose object prefix ends at the node.
type trieNode struct {
	child   [16]int32                 // index of a node by hex digit; 0: none
	keys    []int32                   // indexes of keys, ascending
	byGroup *[purgeGroupCount][]int32 // keys by purge group; nil for at most maxKeysScanned keys
}

// maxKeysScanned is the maximum number of keys of a node that are compared one by one. A node with more keys indexes
// them by purge group.
const maxKeysScanned = 8

// newKeyTable indexes the keys of a valid specification.
func newKeyTable(keys []TenantKey) *keyTable {
	t := &keyTable{keys: keys, byDeclaredTenant: map[string][]int32{}, trie: make([]trieNode, 1)}
	for i := range keys {
		key, index := &keys[i], int32(i)
		if key.DeclaredTenant != "" {
			t.byDeclaredTenant[key.DeclaredTenant] = append(t.byDeclaredTenant[key.DeclaredTenant], index)
			continue
		}
		node := t.nodeFor(key.ObjectPrefix)
		t.trie[node].keys = append(t.trie[node].keys, index)
	}
	for i := range t.trie {
		if len(t.trie[i].keys) > maxKeysScanned {
			t.indexByGroup(&t.trie[i])
		}
	}
	return t
}

// nodeFor returns the index of the trie node for a prefix. It creates missing nodes.
func (t *keyTable) nodeFor(prefix string) int32 {
	node := int32(0)
	for _, c := range []byte(prefix) {
		digit := hexDigit(c)
		if t.trie[node].child[digit] == 0 {
			t.trie[node].child[digit] = int32(len(t.trie))
			t.trie = append(t.trie, trieNode{})
		}
		node = t.trie[node].child[digit]
	}
	return node
}

func (t *keyTable) indexByGroup(node *trieNode) {
	node.byGroup = new([purgeGroupCount][]int32)
	for group := range node.byGroup {
		for _, key := range node.keys {
			if t.keys[key].matchesGroup(group) {
				node.byGroup[group] = append(node.byGroup[group], key)
			}
		}
	}
}

// hexDigit returns the value of a lower-case hex digit, or -1.
func hexDigit(c byte) int {
	switch {
	case c >= '0' && c <= '9':
		return int(c - '0')
	case c >= 'a' && c <= 'f':
		return int(c-'a') + 10
	}
	return -1
}

func (k *TenantKey) matchesGroup(group int) bool {
	return k.PurgeGroupRange == nil || group >= k.PurgeGroupRange[0] && group <= k.PurgeGroupRange[1]
}

func (k *TenantKey) matchesClass(class string) bool { return k.Class == "" || k.Class == class }

// find returns the index of the first key that matches a request. Such a key always exists, because the last key
// matches all requests.
func (t *keyTable) find(group int, class, object, declaredTenant string) int {
	best := int32(len(t.keys) - 1)
	if declaredTenant != "" {
		for _, index := range t.byDeclaredTenant[declaredTenant] {
			if index >= best {
				break
			}
			if key := &t.keys[index]; key.matchesClass(class) && key.matchesGroup(group) && key.matchesPrefix(object) {
				best = index
				break
			}
		}
	}
	node := &t.trie[0]
	for i := 0; ; i++ {
		best = t.firstMatch(node.keysFor(group), group, class, best)
		if i >= len(object) {
			break
		}
		digit := hexDigit(object[i])
		if digit < 0 || node.child[digit] == 0 {
			break
		}
		node = &t.trie[node.child[digit]]
	}
	return int(best)
}

// firstMatch returns the index of the first of a node's keys that matches group and class. It returns best if best is
// lower or no key matches.
func (t *keyTable) firstMatch(keys []int32, group int, class string, best int32) int32 {
	for _, index := range keys {
		if index >= best {
			return best
		}
		if key := &t.keys[index]; key.matchesClass(class) && key.matchesGroup(group) {
			return index
		}
	}
	return best
}

// keysFor returns the indexes of a node's keys that can match a purge group.
func (n *trieNode) keysFor(group int) []int32 {
	if n.byGroup != nil && group >= 0 && group < purgeGroupCount {
		return n.byGroup[group]
	}
	return n.keys
}

func (k *TenantKey) matchesPrefix(object string) bool {
	return len(k.ObjectPrefix) <= len(object) && object[:len(k.ObjectPrefix)] == k.ObjectPrefix
}
