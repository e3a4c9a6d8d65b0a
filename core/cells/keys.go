package cells

// table finds the first line of the key table that a request matches. Lines that the front's name for a tenant
// decides are found by that name, the others by a trie over the object's hex digits; each holds few lines.
type table struct {
	lines []Key
	named map[string][]int32
	trie  []trieNode
}

type trieNode struct {
	child    [16]int32 // 0: none
	lines    []int32   // that begin with the digits down to here, in order
	byFamily *[families][]int32
}

// fewLines are looked through one by one; more are sorted by family first.
const fewLines = 8

func newTable(lines []Key) *table {
	t := &table{lines: lines, named: map[string][]int32{}, trie: make([]trieNode, 1)}
	for i, k := range lines {
		if k.Named != "" {
			t.named[k.Named] = append(t.named[k.Named], int32(i))
			continue
		}
		at := int32(0)
		for _, c := range []byte(k.Prefix) {
			d := digit(c)
			if t.trie[at].child[d] == 0 {
				t.trie[at].child[d] = int32(len(t.trie))
				t.trie = append(t.trie, trieNode{})
			}
			at = t.trie[at].child[d]
		}
		t.trie[at].lines = append(t.trie[at].lines, int32(i))
	}
	for i := range t.trie {
		n := &t.trie[i]
		if len(n.lines) <= fewLines {
			continue
		}
		n.byFamily = new([families][]int32)
		for f := range n.byFamily {
			for _, l := range n.lines {
				if t.lines[l].holds(f) {
					n.byFamily[f] = append(n.byFamily[f], l)
				}
			}
		}
	}
	return t
}

func digit(c byte) int {
	switch {
	case c >= '0' && c <= '9':
		return int(c - '0')
	case c >= 'a' && c <= 'f':
		return int(c-'a') + 10
	}
	return -1
}

func (k *Key) holds(family int) bool {
	return k.Families == nil || family >= k.Families[0] && family <= k.Families[1]
}

// find returns the first line that matches; the last one matches everything.
func (t *table) find(family int, class, object, named string) int {
	best := int32(len(t.lines) - 1)
	look := func(lines []int32, whole bool) {
		for _, l := range lines {
			if l >= best {
				return
			}
			k := &t.lines[l]
			if (k.Class == "" || k.Class == class) && k.holds(family) && (!whole || len(k.Prefix) <= len(object) && object[:len(k.Prefix)] == k.Prefix) {
				best = l
				return
			}
		}
	}
	if named != "" {
		look(t.named[named], true)
	}
	at := int32(0)
	for i := 0; ; i++ {
		n := &t.trie[at]
		if n.byFamily != nil && family >= 0 && family < families {
			look(n.byFamily[family], false)
		} else {
			look(n.lines, false)
		}
		if i >= len(object) {
			break
		}
		d := digit(object[i])
		if d < 0 || n.child[d] == 0 {
			break
		}
		at = n.child[d]
	}
	return int(best)
}
