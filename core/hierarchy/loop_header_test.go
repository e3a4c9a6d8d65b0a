package hierarchy

import (
	"errors"
	"slices"
	"strings"
	"testing"
)

func TestParseLoopAcceptsOnlyValidHeaders(t *testing.T) {
	for _, c := range []struct {
		name    string
		values  []string
		want    string
		invalid bool
	}{
		{"none", nil, "", false},
		{"two headers from RFC 8586",
			[]string{"foo123.foocdn.example, barcdn.example; trace=\"abcdef\"", "AnotherCDN; abc=123; def=\"456\""},
			"foo123.foocdn.example barcdn.example AnotherCDN", false},
		{"empty elements, ports and quoted comma",
			[]string{" , a:8080 ,, [::1]:80\t;x=\"a,b\\\"c\" "}, "a:8080 [::1]:80", false},
		{"empty parameter", []string{"a; ;x=1"}, "a", false},
		{"parameter without a value", []string{"a;x"}, "", true},
		{"unterminated quote", []string{"a;x=\"b"}, "", true},
		{"control character", []string{"a;x=\"b\x01\""}, "", true},
		{"missing comma", []string{"a b"}, "", true},
		{"parameter without an id", []string{";x=1"}, "", true},
		{"id too long", []string{strings.Repeat("a", maxLoopIDBytes+1)}, "", true},
		{"values too long together",
			[]string{strings.Repeat("a,", maxLoopHeaderBytes/4), strings.Repeat("b,", maxLoopHeaderBytes/4+1)}, "", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			ids, err := ParseLoop(c.values)
			switch {
			case (err != nil) != c.invalid:
				t.Errorf("%.40q: %q, %v", c.values, ids, err)
			case err == nil && strings.Join(ids, " ") != c.want:
				t.Errorf("%.40q: %q, want %s", c.values, ids, c.want)
			case c.invalid && !errors.Is(err, ErrLoopHeader):
				t.Errorf("%.40q: %v", c.values, err)
			}
		})
	}
	if !ContainsNode([]string{"a", "SPAN.example"}, "span.EXAMPLE") || ContainsNode([]string{"a"}, "b") {
		t.Error("ids must be compared case-insensitively")
	}
}

// Guards against a crash on arbitrary values. Also guards against parsed ids that are different after they are
// formatted and parsed again.
func FuzzLoopHeader(f *testing.F) {
	f.Add("foo123.foocdn.example, barcdn.example; trace=\"abcdef\"")
	f.Add("a;x=\"\\\"\",b")
	f.Fuzz(func(t *testing.T, value string) {
		ids, err := ParseLoop([]string{value})
		if err != nil {
			return
		}
		reparsed, err := ParseLoop([]string{strings.Join(ids, ", ")})
		if len(value) < maxLoopHeaderBytes/2 && (err != nil || !slices.Equal(ids, reparsed)) {
			t.Errorf("%q: parsed as %q, then as %q, %v", value, ids, reparsed, err)
		}
	})
}
