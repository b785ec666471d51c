package gateway

import (
	"net/http"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/httpserver"
)

// Shares of the host's memory. The process needs about 25 MB besides (on the smallest host,
// 144 MB, a sixth), of which 10 MB are not the Go runtime's. The shares of requests and
// responses are separate: callers that fill theirs would otherwise make responses fail, which
// counts against the servers.
const (
	// requestMemoryShare is the share that the connections and requests of callers may hold
	// together. On the smallest host it leaves room for one body of 64 MiB, the largest that
	// callers may send.
	requestMemoryShare = 0.53
	// responseMemoryShare is the share that the bodies of responses may hold together until
	// they are written to their callers.
	responseMemoryShare = 0.2
	// GoMemoryShare is the share of the host's memory that is set as the soft limit of the Go
	// runtime: both shares and what the process needs besides, and little garbage.
	GoMemoryShare = 0.82
	// defaultMemory is the memory of a host whose settings state none, in bytes.
	defaultMemory = 256 << 20
)

// memoryShare returns a share of the host's memory in bytes.
func memoryShare(hostMemory int64, share float64) int64 {
	if hostMemory <= 0 {
		hostMemory = defaultMemory
	}
	return int64(share * float64(hostMemory))
}

// refuseUnread returns the response to a request that is refused before it was read
// completely.
func (in *ingress) refuseUnread(r *http.Request, why httpserver.Refusal) *httpserver.Response {
	c := in.unroutedRequest(r, time.Now())
	if why.Status == http.StatusServiceUnavailable {
		return in.refuse(c, why.Reason, defaultRetryAfter)
	}
	in.metrics.inc("refused-" + why.Reason)
	in.log.event(c, "the request is refused", "", why.Reason, nil)
	return in.emptyResponse(c, why.Status)
}
