package httpresponse

import "sync"

// scanner checks the head of one response and those of the interim ones before it in the
// bytes of a connection.
type scanner struct {
	mu    sync.Mutex
	state scannerState
	line  []byte // beginning of the response, in state inStatusLine
	// emptyLine is true if no byte but a carriage return follows the last line feed, in
	// state inInterimHead.
	emptyLine bool
}

type scannerState uint8

const (
	inRest scannerState = iota // nothing is checked
	inStatusLine
	inInterimHead
)

// expect says that the next byte is the first one of a response.
func (s *scanner) expect() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state, s.line = inStatusLine, s.line[:0]
}

// scan checks the next bytes of the connection. If they are broken, it returns an error
// and the number of bytes before the one that shows it.
func (s *scanner) scan(data []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, b := range data {
		switch s.state {
		case inRest:
			return len(data), nil
		case inStatusLine:
			s.line = append(s.line, b)
			code, done, err := parseStatusLine(s.line)
			if err != nil {
				return i, err
			}
			if done {
				s.state, s.emptyLine = inRest, b == '\n'
				if isInterim(code) {
					s.state = inInterimHead
				}
			}
		case inInterimHead:
			switch {
			case b == '\n' && s.emptyLine:
				s.state, s.line = inStatusLine, s.line[:0]
			case b == '\n':
				s.emptyLine = true
			case b != '\r':
				s.emptyLine = false
			}
		}
	}
	return len(data), nil
}
