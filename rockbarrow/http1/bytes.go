// SPDX-License-Identifier: MIT

package http1

import (
	"math"
	"strings"
)

// parseLength parses decimal digits.
func parseLength(digits []byte) (int64, bool) {
	var n int64
	for _, b := range digits {
		if !isDigit(b) || n > (math.MaxInt64-9)/10 {
			return 0, false
		}
		n = 10*n + int64(b-'0')
	}
	return n, len(digits) > 0
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

func lower(b byte) byte {
	if b >= 'A' && b <= 'Z' {
		return b + 'a' - 'A'
	}
	return b
}

// isTokenByte reports whether a name may have a byte (RFC 9110, section 5.6.2).
func isTokenByte(b byte) bool {
	return isDigit(b) || lower(b) >= 'a' && lower(b) <= 'z' || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}

// isValueByte reports whether a value may have a byte (RFC 9110, section 5.5).
func isValueByte(b byte) bool { return b == '\t' || b >= ' ' && b != 0x7f }
