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

// valid reports whether the fields of a request can be written as a head. The
// caller interface checks them as well; here the check keeps a field from
// changing the meaning of the head.
func valid(req *request.Request) bool {
	if !plain(req.Method, true) || !plain(req.Path, true) {
		return false
	}
	for _, s := range [...]string{req.ContentType, req.Key, string(req.Customer), req.ID, string(req.Service)} {
		if !plain(s, false) {
			return false
		}
	}
	return strings.HasPrefix(req.Path, "/") && req.Method != ""
}

// plain reports whether s has no control characters, and no spaces if it is
// part of the request line.
func plain(s string, line bool) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c == 0x7f || line && c == ' ' {
			return false
		}
	}
	return true
}

// writeHead writes the head into the buffer of the connection, whose Flush
// reports errors. Writing it here instead of with http.Request saves about 15
// us of CPU time per request.
func (e *exchange) writeHead(req *request.Request, size int) {
	w, t := e.conn.bw, e.target
	for _, s := range [...]string{req.Method, " ", runPrefix, req.Path, " HTTP/1.1\r\nHost: ", e.pool.address, "\r\n"} {
		_, _ = w.WriteString(s)
	}
	if req.ContentType != "" {
		writeField(w, "Content-Type", req.ContentType)
	}
	if size > 0 || req.Method != http.MethodGet && req.Method != http.MethodHead {
		writeField(w, "Content-Length", strconv.Itoa(size))
	}
	writeField(w, serverapi.HeaderExchange, e.id)
	writeField(w, serverapi.HeaderShard, t.Shard.String())
	writeField(w, serverapi.HeaderFence, t.Fence.String())
	writeField(w, serverapi.HeaderKey, req.Key)
	writeField(w, serverapi.HeaderCustomer, string(req.Customer))
	if req.ID != "" {
		writeField(w, serverapi.HeaderRequest, req.ID)
	}
	if deadline, ok := e.ctx.Deadline(); ok {
		writeField(w, serverapi.HeaderTimeout, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	if !t.NotAfter.IsZero() {
		writeField(w, serverapi.HeaderNotAfter, strconv.FormatInt(t.NotAfter.UnixMilli(), 10))
	}
	_, _ = w.WriteString("\r\n")
}

func writeField(w *bufio.Writer, name, value string) {
	_, _ = w.WriteString(name)
	_, _ = w.WriteString(": ")
	_, _ = w.WriteString(value)
	_, _ = w.WriteString("\r\n")
}
