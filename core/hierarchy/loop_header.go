package hierarchy

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Bounds of a CDN-Loop header, in bytes.
const (
	maxLoopHeaderBytes = 4096 // all values together
	maxLoopIDBytes     = 255
)

// ErrLoopHeader is wrapped by every error of ParseLoop.
var ErrLoopHeader = errors.New("CDN-Loop")

// ParseLoop parses the values of CDN-Loop headers (RFC 8586). Each value is a list of ids. An id is a pseudonym, or a
// host with an optional port. Parameters are validated but not returned. The error wraps ErrLoopHeader if a value
// violates the grammar, if all values together exceed 4096 bytes, or if an id exceeds 255 bytes. The caller must treat
// a request for which ParseLoop returns an error as a loop.
func ParseLoop(values []string) (ids []string, err error) {
	size := 0
	for _, value := range values {
		size += len(value)
		if size > maxLoopHeaderBytes {
			return nil, fmt.Errorf("%w: over %d bytes", ErrLoopHeader, maxLoopHeaderBytes)
		}
		for rest := value; rest != ""; {
			var id string
			id, rest, err = parseLoopItem(rest)
			if err != nil {
				return nil, err
			}
			if id != "" { // a list may have empty elements (RFC 9110, 5.6.1)
				ids = append(ids, id)
			}
		}
	}
	return ids, nil
}

// ContainsNode reports whether a node's id is among the ids of a CDN-Loop header. Like host names, ids are compared
// case-insensitively.
func ContainsNode(ids []string, node string) bool {
	return slices.ContainsFunc(ids, func(id string) bool { return strings.EqualFold(id, node) })
}

// parseLoopItem parses the list element at the start of s: an id with its parameters. rest is the part of s after the
// comma that ends the element.
func parseLoopItem(s string) (id, rest string, err error) {
	s = trimLeadingSpace(s)
	end := 0
	for end < len(s) && isLoopIDByte(s[end]) {
		end++
	}
	id = s[:end]
	s = trimLeadingSpace(s[end:])
	if len(id) > maxLoopIDBytes {
		return "", "", fmt.Errorf("%w: id has %d bytes, at most %d are allowed", ErrLoopHeader, len(id), maxLoopIDBytes)
	}
	for strings.HasPrefix(s, ";") {
		s, err = skipParameter(id, trimLeadingSpace(s[1:]))
		if err != nil {
			return "", "", err
		}
	}
	switch {
	case s == "":
		return id, "", nil
	case s[0] == ',':
		return id, s[1:], nil
	}
	return "", "", fmt.Errorf("%w: unexpected %q after %q", ErrLoopHeader, s[0], id)
}

// skipParameter returns the rest of s after the parameter at its start. id is the id that the parameter belongs to.
func skipParameter(id, s string) (rest string, err error) {
	if id == "" {
		return "", fmt.Errorf("%w: parameters without an id", ErrLoopHeader)
	}
	name := tokenLength(s)
	if name == 0 { // an empty parameter (RFC 9110, 5.6.6)
		return s, nil
	}
	s = s[name:]
	if !strings.HasPrefix(s, "=") {
		return "", fmt.Errorf("%w: a parameter of %s has no value", ErrLoopHeader, id)
	}
	s = s[1:]
	value := tokenLength(s)
	if strings.HasPrefix(s, `"`) {
		value = quotedLength(s)
	}
	if value == 0 {
		return "", fmt.Errorf("%w: a parameter of %s has an invalid value", ErrLoopHeader, id)
	}
	return trimLeadingSpace(s[value:]), nil
}

// trimLeadingSpace removes leading spaces and tabs.
func trimLeadingSpace(s string) string { return strings.TrimLeft(s, " \t") }

func isAlphanumeric(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
}

// isLoopIDByte reports whether a byte is allowed in a host, a port, an address in brackets or a pseudonym.
func isLoopIDByte(c byte) bool {
	return isAlphanumeric(c) || strings.IndexByte("-._~%!$&'()*+:[]", c) >= 0
}

// isTokenByte reports whether a byte is allowed in a token (RFC 9110, 5.6.2).
func isTokenByte(c byte) bool {
	return isAlphanumeric(c) || strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}

// tokenLength returns the length of the token at the start of s.
func tokenLength(s string) int {
	n := 0
	for n < len(s) && isTokenByte(s[n]) {
		n++
	}
	return n
}

// quotedLength returns the length of the quoted string at the start of s, including the quotes. It returns 0 if the
// string has no closing quote or contains a control character.
func quotedLength(s string) int {
	for i := 1; i < len(s); i++ {
		switch c := s[i]; {
		case c == '"':
			return i + 1
		case c == '\\':
			i++
		case c < ' ' && c != '\t' || c == 0x7f:
			return 0
		}
	}
	return 0
}
