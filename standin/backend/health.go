package backend

import (
	"encoding/json"
	"net"
	"net/http"
	"time"
)

// HealthReport is the body of the health page. It may be stale (Config.ReportLag) or false (Config.ReportLies).
type HealthReport struct {
	Ready bool      `json:"Ready"`
	Busy  int       `json:"Busy"`
	Slots int       `json:"Slots"`
	Feeds int       `json:"Feeds"`
	At    time.Time `json:"At"`
}

func (backend *Backend) healthHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(writer).Encode(backend.currentReport())
	})
	return mux
}

func (backend *Backend) serveHealth() {
	if !backend.config.Health.IsValid() {
		return
	}
	listener, err := net.Listen("tcp", backend.config.Health.String())
	if err != nil {
		return
	}
	_ = backend.healthServer.Serve(listener)
}

func (backend *Backend) currentReport() HealthReport {
	backend.mu.Lock()
	defer backend.mu.Unlock()
	if time.Since(backend.lastReport.At) >= backend.config.ReportLag {
		backend.lastReport = HealthReport{
			Ready: true,
			Busy:  backend.busySlots,
			Slots: backend.config.Slots,
			Feeds: len(backend.feeds),
			At:    time.Now(),
		}
	}
	healthReport := backend.lastReport
	if backend.config.ReportLies {
		healthReport.Busy = 0
		healthReport.Feeds = 0
	}
	return healthReport
}
