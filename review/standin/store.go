//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"

	"toucangap/platform"
	"toucangap/standin/kv"
)

// pageBytes is the size from which a page of a listing ends, as on the pages.
const pageBytes = 1 << 20

// paged is the project's stand-in of the store with pages of at most about 1 MB.
type paged struct{ store *kv.Store }

// ServeHTTP implements http.Handler.
func (p paged) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/toucangap/kv-range" {
		p.store.ServeHTTP(w, r)
		return
	}
	whole := httptest.NewRecorder()
	p.store.ServeHTTP(whole, r)
	var page platform.Page
	if whole.Code != http.StatusOK || json.Unmarshal(whole.Body.Bytes(), &page) != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	size := 0
	for i := range page.Items {
		size += len(page.Items[i].Value)
		if i > 0 && size > pageBytes {
			page.Items, page.More = page.Items[:i], true
			break
		}
	}
	w.Header().Set("Content-Type", "application/json")
	for name := range whole.Header() {
		w.Header().Set(name, whole.Header().Get(name))
	}
	w.Header().Del("Content-Length")
	_ = json.NewEncoder(w).Encode(page)
}
