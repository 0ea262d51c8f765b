// Package pool holds the pools table: which endpoints hold which models, adapters and versions.
package pool

import "magnoliahoist/route"

// Adapter is an adapter of a model.
type Adapter struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	Memory  int64  `json:"memory"` // bytes
}

// Model is a model that a pool keeps resident.
type Model struct {
	Name     string    `json:"name"`
	Version  string    `json:"version"`
	Memory   int64     `json:"memory"` // bytes
	Replicas int       `json:"replicas,omitempty"`
	Adapters []Adapter `json:"adapters,omitempty"`
}

// Endpoint is a model engine or a plain service.
type Endpoint struct {
	Name    string `json:"name"`
	Address string `json:"address"` // IP number and port
	Domain  string `json:"domain"`  // failure domain
	Memory  int64  `json:"memory,omitempty"`
	Slots   int    `json:"slots"`            // calls it runs at once
	Fenced  bool   `json:"fenced,omitempty"` // refuses orders with an old fencing number
}

// Pool is a set of endpoints of one kind.
type Pool struct {
	Name      string     `json:"name"`
	Kind      route.Kind `json:"kind"`
	Models    []Model    `json:"models,omitempty"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Table is a whole pools table.
type Table struct {
	Pools []Pool `json:"pools"`
}
