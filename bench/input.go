package bench

import (
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"time"

	"magnoliahoist/pool"
	"magnoliahoist/route"
)

// Deployment is the tables of one user and what 1.3 of the design page says of the network.
type Deployment struct {
	Name    string
	Routes  route.Table
	Pools   pool.Table
	Domains []string      // of the hosts
	Delay   time.Duration // one way between domains
	Client  time.Duration // one way to clients
	Weights float64       // model loads a second
	Full    int           // model loads at once at full speed
	Knee    int           // adapter loads in flight
}

// Load reads a deployment of contrib.
func Load(dir, name string) (Deployment, error) {
	d := Deployment{Name: name, Delay: 1500 * time.Microsecond, Client: time.Millisecond, Weights: 1.5, Full: 10, Knee: 90}
	if name == "trangia" {
		d.Delay, d.Client, d.Weights, d.Full, d.Knee = 500*time.Microsecond, 3*time.Millisecond, 2, 15, 130
	}
	routes, err := os.ReadFile(filepath.Join(dir, name, "routes.json"))
	if err != nil {
		return d, err
	}
	pools, err := os.ReadFile(filepath.Join(dir, name, "pools.json"))
	if err != nil {
		return d, err
	}
	if d.Routes, err = route.Parse(routes); err != nil {
		return d, err
	}
	if d.Pools, err = pool.Parse(pools); err != nil {
		return d, err
	}
	list := modelPool(d.Pools).Endpoints
	for n := range hosts {
		d.Domains = append(d.Domains, list[n%4].Domain)
	}
	return d, nil
}

// scaled returns the deployment with other rates, so that endpoints instead of limits may be short.
func (d Deployment) scaled(factor float64) Deployment {
	if factor == 0 {
		return d
	}
	d.Routes.Accounts = slices.Clone(d.Routes.Accounts)
	for n := range d.Routes.Accounts {
		a := &d.Routes.Accounts[n]
		a.Rate, a.Burst = a.Rate*factor, int64(float64(a.Burst)*factor)
	}
	return d
}

const hosts = 5

// Input is a demand with faults.
type Input struct {
	Name      string
	Length    time.Duration // of the arrivals
	Flood     bool          // the first account sends five times its rate
	Shift     bool          // all accounts send near their rate to the same few models, to others from half-way
	Scale     float64       // of rates and bursts; 0 leaves them
	Endpoint  bool          // an endpoint is lost for faultFor
	Failing   bool          // an endpoint fails every call for faultFor, but reports
	Host      bool          // a host is lost
	StaleList bool          // the host list does not change
	Table     bool          // the table service is down for tableOutage
	OrderLoss float64       // part of the orders that are lost
}

// Inputs returns the inputs of the benchmark.
func Inputs() []Input {
	const short = 2 * time.Minute
	return []Input{
		{Name: "bursts", Length: short},
		{Name: "flood", Length: short, Flood: true},
		{Name: "shift", Length: short, Shift: true},
		{Name: "scarce", Length: short, Shift: true, Scale: 2},
		{Name: "endpoint lost", Length: short, Endpoint: true},
		{Name: "endpoint failing", Length: short, Failing: true},
		{Name: "host lost", Length: short, Host: true},
		{Name: "stale list", Length: short, Host: true, StaleList: true},
		{Name: "order loss", Length: short, Endpoint: true, Shift: true, OrderLoss: 0.2},
		{Name: "table down", Length: tableOutage + time.Minute, Table: true},
	}
}

// arrival is a caller's request.
type arrival struct {
	at      time.Duration
	account int
	route   int // in models
	host    int
	prefix  uint64
	answer  int
}

// demand makes the arrivals of an input; the same seed gives the same arrivals for every variant.
func demand(d Deployment, in Input, seed uint64) []arrival {
	random := rand.New(rand.NewPCG(seed, 1))
	models := modelPool(d.Pools).Models
	common, moved := random.Perm(len(models)), random.Perm(len(models))
	var list []arrival
	for n, a := range d.Routes.Accounts {
		routes := routesOf(d, a.Name)
		order := random.Perm(len(routes))
		home := random.IntN(hosts)
		busy, until := false, time.Duration(0)
		for at := time.Duration(0); ; {
			factor := idleFactor
			if in.Flood && n == 0 {
				factor = floodFactor
			} else if in.Shift {
				factor = steadyFactor
			} else if busy {
				factor = busyFactor
			}
			at += time.Duration(random.ExpFloat64() / (factor * a.Rate / meanCost) * float64(time.Second))
			if at >= in.Length {
				break
			}
			for at >= until {
				busy = !busy
				mean := pauseLength
				if busy {
					mean = burstLength
				}
				until += time.Duration(random.ExpFloat64() * float64(mean))
			}
			pick := routes[order[zipf(random, len(routes))]]
			if in.Shift {
				ranks := common
				if at > in.Length/2 {
					ranks = moved
				}
				wanted := models[ranks[zipf(random, len(models))]].Name
				for pick = routes[random.IntN(len(routes))]; d.Routes.Routes[pick].Model != wanted; {
					pick = routes[random.IntN(len(routes))]
				}
			}
			host := home
			if random.Float64() > sticky {
				host = random.IntN(hosts)
			}
			list = append(list, arrival{
				at: warm + at, account: n, route: pick, host: host,
				prefix: uint64(pick)*prefixes + uint64(random.IntN(prefixes)) + 1,
				answer: answerLeast + random.IntN(answerMost-answerLeast+1),
			})
		}
	}
	return list
}

// zipf draws a rank with a probability of about 1/(rank+1).
func zipf(random *rand.Rand, n int) int {
	return min(int(math.Exp(random.Float64()*math.Log(float64(n+1))))-1, n-1)
}

func routesOf(d Deployment, account string) []int {
	var list []int
	for n, r := range d.Routes.Routes {
		if r.Kind == route.Model && r.Allows(account) {
			list = append(list, n)
		}
	}
	return list
}
