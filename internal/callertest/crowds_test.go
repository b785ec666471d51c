//go:build callers

package callertest_test

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

const (
	// callers is the number of callers in a crowd. Their bodies need more than twice the
	// memory that the processes have.
	callers = 250
	// legalBody is the largest body that the processes accept.
	legalBody = 1 << 20
	// completeShare is the share of the callers, one in so many, that send their whole
	// request. The others stop one byte before its end.
	completeShare = 5
)

// headFunc returns the head of a request up to the fields on its body.
type headFunc func(caller int, path string) string

// stopsShort returns the bytes that a caller sends of its request.
func stopsShort(caller int, request []byte) []byte {
	if caller%completeShare == 0 {
		return request
	}
	return request[:len(request)-1]
}

func announced(head string, length int) []byte {
	return fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", head, length)
}

// chunked returns the chunks of a body and its end.
func chunked(length, chunk int) []byte {
	one := fmt.Appendf(nil, "%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
	return append(bytes.Repeat(one, length/chunk), "0\r\n\r\n"...)
}

const chunkedField = "Transfer-Encoding: chunked\r\n\r\n"

// sendInPieces writes data in pieces with a pause after each.
func sendInPieces(nc net.Conn, data []byte) {
	const piece = 16 << 10
	for len(data) > 0 {
		n := min(piece, len(data))
		if _, err := nc.Write(data[:n]); err != nil {
			return
		}
		data = data[n:]
		time.Sleep(2 * time.Millisecond)
	}
}

// crowds are the crowds whose callers send bodies.
var crowds = []struct {
	name string
	// fault is the failure that the crowd shows without bounds.
	fault string
	send  func(head headFunc) func(caller int, nc net.Conn)
}{
	{"large bodies at once", "memory is allocated for all bodies of requests that wait", func(head headFunc) func(int, net.Conn) {
		body := bytes.Repeat([]byte("x"), legalBody)
		return func(i int, nc net.Conn) {
			_, _ = nc.Write(append(announced(head(i, "/work/x"), legalBody), body...))
		}
	}},
	{"large bodies announced and not sent", "memory is allocated for bodies that do not arrive", func(head headFunc) func(int, net.Conn) {
		return func(i int, nc net.Conn) { _, _ = nc.Write(announced(head(i, "/work/x"), legalBody)) }
	}},
	{"large bodies in pieces", "incomplete bodies are held for as long as their callers like", func(head headFunc) func(int, net.Conn) {
		body := bytes.Repeat([]byte("x"), legalBody)
		return func(i int, nc net.Conn) {
			sendInPieces(nc, stopsShort(i, append(announced(head(i, "/work/x"), legalBody), body...)))
		}
	}},
	{"announced bodies over the limit", "the body is read before it is refused", func(head headFunc) func(int, net.Conn) {
		body := bytes.Repeat([]byte("x"), 4*legalBody)
		return func(i int, nc net.Conn) {
			_, _ = nc.Write(append(announced(head(i, "/work/x"), 1<<30), body...))
		}
	}},
	{"bodies over the limit without announcement", "the body is held up to the limit by each caller", func(head headFunc) func(int, net.Conn) {
		endless := chunked(4*legalBody, 64<<10)
		body := bytes.Repeat([]byte("x"), 4*legalBody)
		return func(i int, nc net.Conn) {
			if i%2 == 0 {
				_, _ = nc.Write(append([]byte(head(i, "/work/x")+chunkedField), endless...))
				return
			}
			_, _ = nc.Write(append(announced(head(i, "/work/x"), legalBody), body...))
		}
	}},
	{"large chunks", "buffers of chunked bodies double", func(head headFunc) func(int, net.Conn) {
		body := chunked(legalBody, 256<<10)
		return func(i int, nc net.Conn) {
			_, _ = nc.Write(stopsShort(i, append([]byte(head(i, "/work/x")+chunkedField), body...)))
		}
	}},
	{"small chunks", "as above, with the cost of each chunk", func(head headFunc) func(int, net.Conn) {
		body := chunked(legalBody, 16)
		return func(i int, nc net.Conn) {
			_, _ = nc.Write(stopsShort(i, append([]byte(head(i, "/work/x")+chunkedField), body...)))
		}
	}},
	{"callers that do not read", "responses are held, twice, until their callers read them", func(head headFunc) func(int, net.Conn) {
		return func(i int, nc net.Conn) {
			for range 4 {
				_, _ = nc.Write([]byte(head(i, "/large/x") + "\r\n"))
			}
		}
	}},
	{"pipelined requests with bodies", "each connection holds the bodies of all its requests", func(head headFunc) func(int, net.Conn) {
		body := bytes.Repeat([]byte("x"), 64<<10)
		return func(i int, nc net.Conn) {
			for range 32 {
				if _, err := nc.Write(append(announced(head(i, "/work/x"), len(body)), body...)); err != nil {
					return
				}
			}
		}
	}},
}

// runCrowds confronts a new process with each crowd.
func runCrowds(t *testing.T, start func(t *testing.T) *process, head headFunc) {
	for _, c := range crowds {
		t.Run(strings.ReplaceAll(c.name, " ", "_"), func(t *testing.T) {
			t.Log("guards against this: " + c.fault)
			p := start(t)
			crowd(t, p.address, callers, c.send(head))
			p.check(t)
		})
	}
}
