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

// Deployment holds the tables of one example deployment and the properties of its network from section 1.3 of the design page.
type Deployment struct {
	Name            string
	Routes          route.Table
	Pools           pool.Table
	Domains         []string      // failure domain of each host
	DomainDelay     time.Duration // one-way network delay between failure domains
	ClientDelay     time.Duration // one-way network delay to callers
	ModelLoadRate   float64       // model loads per second
	MaxModelLoads   int           // concurrent model loads up to which each runs at full speed
	MaxAdapterLoads int           // concurrent adapter loads up to which loading does not slow down
}

// LoadDeployment reads the deployment of a name from routes.json and pools.json in its directory below dir.
func LoadDeployment(dir, name string) (Deployment, error) {
	d := Deployment{Name: name, DomainDelay: 1500 * time.Microsecond, ClientDelay: time.Millisecond, ModelLoadRate: 1.5, MaxModelLoads: 10, MaxAdapterLoads: 90}
	if name == "trangia" {
		d.DomainDelay, d.ClientDelay, d.ModelLoadRate, d.MaxModelLoads, d.MaxAdapterLoads = 500*time.Microsecond, 3*time.Millisecond, 2, 15, 130
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
	for n := range hostCount {
		d.Domains = append(d.Domains, list[n%4].Domain)
	}
	return d, nil
}

// scaledRates returns the deployment with the accounts' rates and bursts multiplied by a factor, so that endpoints instead of limits may be the
// bottleneck. Factor 0 changes nothing.
func (d Deployment) scaledRates(factor float64) Deployment {
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

// hostCount is the number of hosts of every deployment.
const hostCount = 5

// Input describes the requests and faults of a run.
type Input struct {
	Name                 string
	Length               time.Duration // period in which requests arrive
	Flood                bool          // the first account sends floodFactor times its rate
	Shift                bool          // all accounts send near their rate, mostly to the same few models, and to other models in the second half
	RateScale            float64       // factor of the accounts' rates and bursts; 0 leaves them unchanged
	EndpointLost         bool          // an endpoint is down for faultDuration and loses its memory
	EndpointFailing      bool          // an endpoint fails every attempt for faultDuration, but still sends its reports
	HostLost             bool          // a host is lost for good
	HostListStale        bool          // the host list still contains the lost host
	TableDown            bool          // the table service is down for tableOutage
	OrderLossProbability float64
}

// Inputs returns the inputs of the benchmark.
func Inputs() []Input {
	const short = 2 * time.Minute
	return []Input{
		{Name: "bursts", Length: short},
		{Name: "flood", Length: short, Flood: true},
		{Name: "shift", Length: short, Shift: true},
		{Name: "scarce", Length: short, Shift: true, RateScale: 2},
		{Name: "endpoint lost", Length: short, EndpointLost: true},
		{Name: "endpoint failing", Length: short, EndpointFailing: true},
		{Name: "host lost", Length: short, HostLost: true},
		{Name: "stale list", Length: short, HostLost: true, HostListStale: true},
		{Name: "order loss", Length: short, EndpointLost: true, Shift: true, OrderLossProbability: 0.2},
		{Name: "table down", Length: tableOutage + time.Minute, TableDown: true},
	}
}

// arrival is a caller's request.
type arrival struct {
	at           time.Duration
	account      int
	route        int // index in the route table
	host         int
	prefix       uint64
	outputTokens int
}

// generateArrivals returns the requests of an input; the same seed gives the same requests for every variant.
func generateArrivals(d Deployment, in Input, seed uint64) []arrival {
	random := rand.New(rand.NewPCG(seed, 1))
	models := modelPool(d.Pools).Models
	initialRanking, shiftedRanking := random.Perm(len(models)), random.Perm(len(models))
	var arrivals []arrival
	for n, a := range d.Routes.Accounts {
		routes := routesOf(d, a.Name)
		routeRanking := random.Perm(len(routes))
		homeHost := random.IntN(hostCount)
		inBurst, phaseEnd := false, time.Duration(0)
		for at := time.Duration(0); ; {
			factor := idleFactor
			if in.Flood && n == 0 {
				factor = floodFactor
			} else if in.Shift {
				factor = steadyFactor
			} else if inBurst {
				factor = burstFactor
			}
			at += time.Duration(random.ExpFloat64() / (factor * a.Rate / meanRequestTokens) * float64(time.Second))
			if at >= in.Length {
				break
			}
			for at >= phaseEnd {
				inBurst = !inBurst
				mean := idleLength
				if inBurst {
					mean = burstLength
				}
				phaseEnd += time.Duration(random.ExpFloat64() * float64(mean))
			}
			chosenRoute := routes[routeRanking[zipfRank(random, len(routes))]]
			if in.Shift {
				ranking := initialRanking
				if at > in.Length/2 {
					ranking = shiftedRanking
				}
				model := models[ranking[zipfRank(random, len(models))]].Name
				for chosenRoute = routes[random.IntN(len(routes))]; d.Routes.Routes[chosenRoute].Model != model; {
					chosenRoute = routes[random.IntN(len(routes))]
				}
			}
			host := homeHost
			if random.Float64() > homeHostProbability {
				host = random.IntN(hostCount)
			}
			arrivals = append(arrivals, arrival{
				at: warmUp + at, account: n, route: chosenRoute, host: host,
				prefix:       uint64(chosenRoute)*prefixesPerRoute + uint64(random.IntN(prefixesPerRoute)) + 1,
				outputTokens: minOutputTokens + random.IntN(maxOutputTokens-minOutputTokens+1),
			})
		}
	}
	return arrivals
}

// zipfRank draws a rank below n with a probability about proportional to 1/(rank+1).
func zipfRank(random *rand.Rand, n int) int {
	return min(int(math.Exp(random.Float64()*math.Log(float64(n+1))))-1, n-1)
}

// routesOf returns the indices of the model routes that an account may use.
func routesOf(d Deployment, account string) []int {
	var list []int
	for n, r := range d.Routes.Routes {
		if r.Kind == route.Model && r.Allows(account) {
			list = append(list, n)
		}
	}
	return list
}
