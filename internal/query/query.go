// Package query transfers the state of hosts as JSON over HTTP: it sends queries
// to hosts and writes the responses.
package query

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// maxReason bounds the part of an error response that is copied into the error.
const maxReason = 1 << 10

// WriteJSON writes v as the JSON response to a query.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails if the caller has disconnected
}

// Get sends a GET request to the host at address and decodes the JSON response. If
// the status is not 200, the error contains the status and the response's text.
func Get(ctx context.Context, client *http.Client, address, path string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		reason, _ := io.ReadAll(io.LimitReader(resp.Body, maxReason)) // on failure the error has at least the status
		return fmt.Errorf("status %d: %s", resp.StatusCode, strings.TrimSpace(string(reason)))
	}
	return json.NewDecoder(resp.Body).Decode(into)
}
