package httpresponse

import (
	"bytes"
	"sync"
)

// scanner checks the head of one response and those of the interim ones before it in the
// bytes of a connection.
type scanner struct {
	mu      sync.Mutex
	state   scannerState
	line    []byte // beginning of the response, in state inStatusLine
	interim bool   // the head is that of an interim response
}

type scannerState uint8

const (
	inRest scannerState = iota // nothing is checked
	inStatusLine
	inLine      // the rest of a status line, or the value of a field
	inLineStart // the first byte of the line of a field, or of the end of the head
	inHeadEnd   // after the carriage return of an empty line
	inFieldName // after the first byte of a name
)

// expect says that the next byte is the first one of a response.
func (s *scanner) expect() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expectStatusLine()
}

func (s *scanner) expectStatusLine() { s.state, s.line = inStatusLine, s.line[:0] }

// isFirst reports whether a response is expected and none of it has arrived.
func (s *scanner) isFirst() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state == inStatusLine && len(s.line) == 0
}

// scan checks the next bytes of the connection. If they are broken, it returns an error
// and the number of bytes before the one that shows it.
func (s *scanner) scan(data []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := s.skipStatusLine(data); i < len(data) && s.state != inRest; i++ {
		if s.state == inLine {
			end := bytes.IndexByte(data[i:], '\n')
			if end < 0 {
				break
			}
			i += end
		}
		if err := s.scanByte(data[i]); err != nil {
			return i, err
		}
	}
	return len(data), nil
}

// statusLineLen is the length of a status line with the byte after its code.
const statusLineLen = len("HTTP/1.1 200 ")

// skipStatusLine returns the number of bytes of a valid status line with which data begins,
// zero if it must be scanned byte by byte.
func (s *scanner) skipStatusLine(data []byte) int {
	if s.state != inStatusLine || len(s.line) > 0 || len(data) < statusLineLen {
		return 0
	}
	code, done, err := parseStatusLine(data[:statusLineLen])
	if code == nil || !done || err != nil || data[statusLineLen-1] == '\n' {
		return 0
	}
	s.state, s.interim = inLine, isInterim(code)
	return statusLineLen
}

func (s *scanner) scanByte(b byte) error {
	switch s.state {
	case inStatusLine:
		return s.scanStatusLine(b)
	case inLine:
		if b == '\n' {
			s.state = inLineStart
		}
	case inLineStart:
		switch b {
		case '\r':
			s.state = inHeadEnd
		case '\n':
			s.endHead()
		default:
			s.state = inFieldName
			return checkFieldNameByte(b)
		}
	case inHeadEnd:
		if b != '\n' {
			return errFieldNameByte('\r')
		}
		s.endHead()
	case inFieldName:
		if b != ':' {
			return checkFieldNameByte(b)
		}
		s.state = inLine
	}
	return nil
}

func (s *scanner) scanStatusLine(b byte) error {
	s.line = append(s.line, b)
	code, done, err := parseStatusLine(s.line)
	switch {
	case err != nil || !done:
		return err
	case code == nil: // the parser of the head rejects it
		s.state = inRest
	case b == '\n':
		s.state = inLineStart
	default:
		s.state = inLine
	}
	s.interim = isInterim(code)
	return nil
}

func (s *scanner) endHead() {
	s.state = inRest
	if s.interim {
		s.expectStatusLine()
	}
}
