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

// ParseServerID returns the number in a server ID such as "s-00c41f7a". ok is false if the ID is not "s-" followed by
// eight hexadecimal digits.
func ParseServerID(id string) (number uint32, ok bool) {
	digits, ok := strings.CutPrefix(id, serverIDPrefix)
	if !ok || len(digits) != serverIDDigits {
		return 0, false
	}
	parsed, err := strconv.ParseUint(digits, 16, 32)
	return uint32(parsed), err == nil
}

// formatServerID returns the server ID for a number. It is the inverse of ParseServerID.
func formatServerID(number uint32) string { return fmt.Sprintf(serverIDFormat, number) }
