package main

import (
	"encoding/json"
	"fmt"
	"time"
)

type route struct {
	Name        string `json:"name"`
	PathPrefix  string `json:"path_prefix"`
	Kind        string `json:"kind"`
	Timeout     string `json:"timeout"`
	Target      string `json:"target_latency"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"max_attempts"`
}

// config is the operator's configuration.
type config struct {
	version  int
	services []string
	hosts    map[string][]route
	order    []string
}

func newConfig(services ...string) *config {
	return &config{version: 1, services: services, hosts: map[string][]route{}}
}

func (cf *config) add(host string, rt route) {
	if cf.hosts[host] == nil {
		cf.order = append(cf.order, host)
	}
	cf.hosts[host] = append(cf.hosts[host], rt)
}

func plainRoute(name, prefix, kind, service string) route {
	return route{Name: name, PathPrefix: prefix, Kind: kind, Timeout: "800ms", Target: "400ms", Priority: 1, Service: service, MaxAttempts: 2}
}

// addIdle adds routes that get no requests, as the deployments have them.
func (cf *config) addIdle(n int) {
	for range n {
		i := len(cf.hosts["idle.example"])
		cf.add("idle.example", plainRoute(fmt.Sprintf("r-idle%05d", i), fmt.Sprintf("/idle%05d/", i), "idempotent", cf.services[0]))
	}
}

func (cf *config) text() []byte {
	services := []map[string]any{}
	for _, name := range cf.services {
		services = append(services, map[string]any{"name": name, "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false})
	}
	hosts := []map[string]any{}
	for _, host := range cf.order {
		hosts = append(hosts, map[string]any{"host": host, "route_paths": cf.hosts[host]})
	}
	text, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", cf.version), "services": services, "virtual_hosts": hosts,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
	})
	if err != nil {
		panic(err)
	}
	return text
}

// put writes the next version to the store and returns the time of the ack.
func (fl *fleet) put(cf *config) time.Time {
	cf.version += 2
	text := cf.text()
	at := fl.st.Put("op/config", text)
	fl.rec.addAt(at, "config-acked", "version", cf.version, "bytes", len(text))
	return at
}
