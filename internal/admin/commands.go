package admin

import (
	"encoding/json"
	"net/http"

	"toucangap/internal/adminapi"
)

func (s *Server) mark(w http.ResponseWriter, r *http.Request) {
	var m adminapi.MarkCommand
	body := http.MaxBytesReader(w, r.Body, maxBody)
	if err := json.NewDecoder(body).Decode(&m); err != nil {
		s.respondError(w, http.StatusBadRequest, err)
		return
	}
	value, err := s.options.Commands.Mark(r.Context(), m)
	s.respond(w, value, err)
}

func (s *Server) stop(w http.ResponseWriter, r *http.Request) {
	value, err := s.options.Commands.Stop(r.Context())
	s.respond(w, value, err)
}
