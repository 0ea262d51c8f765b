package dev

import (
	_ "embed"
	"strings"

	"magnoliahoist/pool"
	"magnoliahoist/route"
)

// The example tables. In examplePools, @NAME@ stands for the address of the endpoint NAME.
var (
	//go:embed routes.json
	exampleRoutes []byte
	//go:embed pools.json
	examplePools string
)

// Keys of the example client accounts.
const (
	KeyKyushu  = "demo-kyushu"
	KeyTranGia = "demo-trangia"
)

// exampleKeys maps each key to its client account.
var exampleKeys = map[string]string{KeyKyushu: "kyushu", KeyTranGia: "trangia"}

// exampleTables returns the example tables with the addresses of endpoints, which are given by name.
func exampleTables(addresses map[string]string) (route.Table, pool.Table, error) {
	routes, err := route.Parse(exampleRoutes)
	if err != nil {
		return route.Table{}, pool.Table{}, err
	}
	text := examplePools
	for name, address := range addresses {
		text = strings.ReplaceAll(text, "@"+name+"@", address)
	}
	pools, err := pool.Parse([]byte(text))
	return routes, pools, err
}
