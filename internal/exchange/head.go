package exchange

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/request"
	"github.com/lycheerudder/lycheerudder/internal/serverapi"
)

const runPrefix = "/v1/run"

// validRequest reports whether the fields of a request can be written into a head.
// The caller interface checks them as well; this check prevents header injection
// in any case.
func validRequest(req *request.Request) bool {
	if !validText(req.Method, true) || !validText(req.Path, true) {
		return false
	}
	for _, s := range [...]string{req.ContentType, req.Key, string(req.Customer), req.ID, string(req.Service)} {
		if !validText(s, false) {
			return false
		}
	}
	return strings.HasPrefix(req.Path, "/") && req.Method != ""
}

// validText reports whether s has no control characters, and no spaces if it is
// part of the request line.
func validText(s string, inRequestLine bool) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c == 0x7f || inRequestLine && c == ' ' {
			return false
		}
	}
	return true
}

// writeHead writes the head into the buffer of the connection. Flush returns the
// errors. Compared with http.Request.Write this saves about 15 us of CPU time per
// request.
func (e *exchange) writeHead(req *request.Request, size int) {
	w, t := e.conn.bw, e.target
	for _, s := range [...]string{req.Method, " ", runPrefix, req.Path, " HTTP/1.1\r\nHost: ", e.pool.address, "\r\n"} {
		_, _ = w.WriteString(s)
	}
	if req.ContentType != "" {
		writeHeader(w, "Content-Type", req.ContentType)
	}
	if size > 0 || req.Method != http.MethodGet && req.Method != http.MethodHead {
		writeHeader(w, "Content-Length", strconv.Itoa(size))
	}
	writeHeader(w, serverapi.HeaderExchange, e.id)
	writeHeader(w, serverapi.HeaderShard, t.Shard.String())
	writeHeader(w, serverapi.HeaderFence, t.Fence.String())
	writeHeader(w, serverapi.HeaderKey, req.Key)
	writeHeader(w, serverapi.HeaderCustomer, string(req.Customer))
	if req.ID != "" {
		writeHeader(w, serverapi.HeaderRequest, req.ID)
	}
	if deadline, ok := e.ctx.Deadline(); ok {
		writeHeader(w, serverapi.HeaderTimeout, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	if !t.NotAfter.IsZero() {
		writeHeader(w, serverapi.HeaderNotAfter, strconv.FormatInt(t.NotAfter.UnixMilli(), 10))
	}
	_, _ = w.WriteString("\r\n")
}

func writeHeader(w *bufio.Writer, name, value string) {
	_, _ = w.WriteString(name)
	_, _ = w.WriteString(": ")
	_, _ = w.WriteString(value)
	_, _ = w.WriteString("\r\n")
}
