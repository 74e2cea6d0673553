// SPDX-License-Identifier: MIT

package http1

const protocol = "HTTP/1."

// statusByte checks a byte of a status line: HTTP/1.x, a blank, three digits, and a blank with a reason or nothing.
func (s *Scanner) statusByte(b byte) string {
	at := s.column
	s.column++
	switch {
	case at < len(protocol):
		if b != protocol[at] {
			return s.bad("a status line that does not begin with " + protocol)
		}
	case at == 7:
		if !isDigit(b) {
			return s.bad("a version that is no number")
		}
		s.minor = b - '0'
	case at == 8 || at == 12:
		if b != ' ' {
			return s.bad("a status line without a blank around its status")
		}
	case at < 12:
		if !isDigit(b) {
			return s.bad("a status that is no number of three digits")
		}
		s.status = 10*s.status + int(b-'0')
		if at == 11 {
			return s.checkStatus()
		}
	case !isValueByte(b):
		return s.bad("a control byte in the status line")
	}
	return ""
}

func (s *Scanner) checkStatus() string {
	if s.status < 100 || s.status > 599 {
		return s.bad("a status outside of 100 to 599")
	}
	if s.status == 101 {
		return s.bad("a switch to another protocol, for which no request asks")
	}
	return ""
}
