package hierarchy

import (
	"errors"
	"slices"
	"strings"
	"testing"
)

func TestLoopHeader(t *testing.T) {
	for _, c := range []struct {
		name    string
		values  []string
		want    string
		invalid bool
	}{
		{"none", nil, "", false},
		{"two headers, of RFC 8586",
			[]string{"foo123.foocdn.example, barcdn.example; trace=\"abcdef\"", "AnotherCDN; abc=123; def=\"456\""},
			"foo123.foocdn.example barcdn.example AnotherCDN", false},
		{"empty elements, ports, a quoted comma",
			[]string{" , a:8080 ,, [::1]:80\t;x=\"a,b\\\"c\" "}, "a:8080 [::1]:80", false},
		{"empty parameter", []string{"a; ;x=1"}, "a", false},
		{"parameter without a value", []string{"a;x"}, "", true},
		{"quote that does not end", []string{"a;x=\"b"}, "", true},
		{"control character", []string{"a;x=\"b\x01\""}, "", true},
		{"no comma", []string{"a b"}, "", true},
		{"parameter without an id", []string{";x=1"}, "", true},
		{"long id", []string{strings.Repeat("a", maxLoopIDBytes+1)}, "", true},
		{"long in all",
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
		t.Error("ids compared")
	}
}

// Any value is parsed or rejected, and what was parsed is parsed the same when written again.
func FuzzLoopHeader(f *testing.F) {
	f.Add("foo123.foocdn.example, barcdn.example; trace=\"abcdef\"")
	f.Add("a;x=\"\\\"\",b")
	f.Fuzz(func(t *testing.T, value string) {
		ids, err := ParseLoop([]string{value})
		if err != nil {
			return
		}
		again, err := ParseLoop([]string{strings.Join(ids, ", ")})
		if len(value) < maxLoopHeaderBytes/2 && (err != nil || !slices.Equal(ids, again)) {
			t.Errorf("%q: %q, then %q, %v", value, ids, again, err)
		}
	})
}
