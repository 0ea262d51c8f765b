package placement

//go:generate go tool stringer -type=Kind,Result -linecomment -output=kind_string.go

// Kind is the operation that an order asks for.
type Kind int

// Kinds of orders. A Role order only announces the fencing number.
const (
	Load   Kind = iota // load
	Unload             // unload
	Role               // role
)

// Result is an endpoint's definitive response to an order.
type Result int

// Results of an order.
const (
	Applied  Result = iota // applied
	Rejected               // rejected
)
