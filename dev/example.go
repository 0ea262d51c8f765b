package dev

import (
	_ "embed"
	"strings"

	"magnoliahoist/pool"
	"magnoliahoist/route"
)

// The example tables; the addresses of endpoints are filled in when the stand-ins run.
var (
	//go:embed routes.json
	exampleRoutes []byte
	//go:embed pools.json
	examplePools string
)

// Keys of the example accounts.
const (
	KeyKyushu  = "demo-kyushu"
	KeyTranGia = "demo-trangia"
)

// exampleKeys are the accounts of the fixed keys.
var exampleKeys = map[string]string{KeyKyushu: "kyushu", KeyTranGia: "trangia"}

// tables returns the example tables with the addresses of endpoints by name.
func tables(addresses map[string]string) (route.Table, pool.Table, error) {
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
