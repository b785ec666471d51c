// Package query asks hosts for their state over HTTP and answers such queries.
package query

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// maxReason bounds the reason of a refusal that an error quotes.
const maxReason = 1 << 10

// WriteJSON answers a query.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails if the caller has left
}

// Get asks the host at address and decodes its answer. The error of an answer
// other than 200 has its status and reason.
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
		reason, _ := io.ReadAll(io.LimitReader(resp.Body, maxReason)) // the status is known in any case
		return fmt.Errorf("status %d: %s", resp.StatusCode, strings.TrimSpace(string(reason)))
	}
	return json.NewDecoder(resp.Body).Decode(into)
}
