package gossip

import (
	"fmt"
	"strconv"
	"strings"
)

const (
	serverIDPrefix = "s-"
	serverIDDigits = 8 // hexadecimal
	serverIDFormat = serverIDPrefix + "%08x"
)

// ParseServerID returns the number that a server's id such as "s-00c41f7a" stands for; false for an id of another
// form.
func ParseServerID(id string) (number uint32, ok bool) {
	digits, ok := strings.CutPrefix(id, serverIDPrefix)
	if !ok || len(digits) != serverIDDigits {
		return 0, false
	}
	parsed, err := strconv.ParseUint(digits, 16, 32)
	return uint32(parsed), err == nil
}

// formatServerID returns the id that stands for a number.
func formatServerID(number uint32) string { return fmt.Sprintf(serverIDFormat, number) }
