// Package pool defines the pools table: the endpoints of each pool, and the models, adapters and versions that they hold.
package pool

import "magnoliahoist/route"

// Adapter is an adapter of a model.
type Adapter struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	Memory  int64  `json:"memory"` // bytes
}

// Model is a model that the endpoints of a pool keep in memory.
type Model struct {
	Name     string    `json:"name"`
	Version  string    `json:"version"`
	Memory   int64     `json:"memory"`             // bytes
	Replicas int       `json:"replicas,omitempty"` // least number of replicas, more are loaded on demand; 0 for the default
	Adapters []Adapter `json:"adapters,omitempty"`
}

// Endpoint is a model engine or a plain service.
type Endpoint struct {
	Name          string `json:"name"`
	Address       string `json:"address"`          // IP address and port
	Domain        string `json:"domain"`           // failure domain
	Memory        int64  `json:"memory,omitempty"` // bytes, of a model engine
	Slots         int    `json:"slots"`            // number of calls that it runs at once
	ChecksFencing bool   `json:"fenced,omitempty"` // it refuses orders with an outdated fencing number
}

// Pool is a set of endpoints of one kind.
type Pool struct {
	Name      string     `json:"name"`
	Kind      route.Kind `json:"kind"`
	Models    []Model    `json:"models,omitempty"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Table is the pools table.
type Table struct {
	Pools []Pool `json:"pools"`
}
