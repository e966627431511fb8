package berylmodel

// This file defines the load: organisations, kinds of requests, and patterns.

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"berylspoke"
)

// Kind is one kind of request of a load.
type Kind struct {
	Name string
	// Rate is the part of all requests.
	Rate      float64
	Objective time.Duration
	// Own and Output are the mean tokens of the request's own prompt and of its
	// answer, Spread the deviation of their logarithms.
	Own, Output berylspoke.Tokens
	Spread      float64
	// Common and Subject are the tokens of the two shared parts, of which there
	// are so many different ones.
	Common, Subject   berylspoke.Tokens
	Commons, Subjects int
}

// Kinds returns the three kinds of drafts of the deployments.
func Kinds() []Kind {
	return []Kind{
		{Name: "dossier", Rate: 0.135, Objective: 800 * time.Millisecond, Own: 6610, Output: 384, Spread: 1, Common: 512, Commons: 3, Subject: 4870, Subjects: 147},
		{Name: "revision", Rate: 0.5, Objective: 400 * time.Millisecond, Own: 628, Output: 288, Spread: 0.7, Common: 119, Commons: 40, Subject: 79, Subjects: 246},
		{Name: "summary", Rate: 0.365, Objective: 500 * time.Millisecond, Own: 1800, Output: 24, Spread: 1, Common: 341, Commons: 40, Subject: 227, Subjects: 266},
	}
}

// Pattern changes a load for a while.
type Pattern struct {
	From, Until time.Duration
	// Flood multiplies the rate of one organisation.
	Flood float64
	// Organisation is its number.
	Organisation int
	// HotShare is the part of the dossiers that are about one subject.
	HotShare float64
}

// LoadOptions describe a load.
type LoadOptions struct {
	Seed          uint64
	Length        time.Duration
	PerSecond     float64
	Organisations int
	// Skew is the exponent by which organisations differ in size.
	Skew     float64
	Kinds    []Kind
	Patterns []Pattern
}

// Arrival is one request of a load.
type Arrival struct {
	At            time.Duration
	Kind          int
	Organisation  int
	Entry         int
	Input, Output berylspoke.Tokens
	Parts         []berylspoke.Part
}

// Load draws the arrivals of a load for some entries in order of time.
func Load(options LoadOptions, entries int) []Arrival {
	random := rand.New(rand.NewPCG(options.Seed, 1))
	var arrivals []Arrival
	shares := make([]float64, options.Organisations)
	total := 0.0
	for i := range shares {
		shares[i] = math.Pow(float64(i+1), -options.Skew)
		total += shares[i]
	}
	for organisation, share := range shares {
		rate := options.PerSecond * share / total
		for at := time.Duration(0); at < options.Length; {
			now := rate * options.factor(organisation, at)
			at += time.Duration(random.ExpFloat64() / now * float64(time.Second))
			if at < options.Length {
				arrivals = append(arrivals, options.draw(random, organisation, at, entries))
			}
		}
	}
	sort.SliceStable(arrivals, func(i, j int) bool { return arrivals[i].At < arrivals[j].At })
	return arrivals
}

func (options LoadOptions) factor(organisation int, at time.Duration) float64 {
	factor := 1.0
	for _, pattern := range options.Patterns {
		if pattern.Flood > 0 && pattern.Organisation == organisation && at >= pattern.From && at < pattern.Until {
			factor *= pattern.Flood
		}
	}
	return factor
}

func (options LoadOptions) draw(random *rand.Rand, organisation int, at time.Duration, entries int) Arrival {
	arrival := Arrival{At: at, Organisation: organisation, Entry: random.IntN(entries)}
	point := random.Float64()
	for arrival.Kind = 0; arrival.Kind < len(options.Kinds)-1; arrival.Kind++ {
		if point -= options.Kinds[arrival.Kind].Rate; point < 0 {
			break
		}
	}
	kind := options.Kinds[arrival.Kind]
	subject := random.IntN(kind.Subjects)
	for _, pattern := range options.Patterns {
		if pattern.HotShare > 0 && arrival.Kind == 0 && at >= pattern.From && at < pattern.Until && random.Float64() < pattern.HotShare {
			subject = 0
		}
	}
	own := drawn(random, kind.Own, kind.Spread)
	arrival.Output = drawn(random, kind.Output, kind.Spread/2)
	arrival.Parts = []berylspoke.Part{
		{ID: partID(arrival.Kind, 0, subject%kind.Commons), Tokens: kind.Common},
		{ID: partID(arrival.Kind, 1, subject), Tokens: kind.Subject},
		{ID: random.Uint64(), Tokens: own},
	}
	arrival.Input = kind.Common + kind.Subject + own
	return arrival
}

// drawn returns a log-normal number of the given mean.
func drawn(random *rand.Rand, mean berylspoke.Tokens, spread float64) berylspoke.Tokens {
	value := float64(mean) * math.Exp(spread*random.NormFloat64()-spread*spread/2)
	const most = 8
	return berylspoke.Tokens(math.Max(1, math.Min(value, most*float64(mean))))
}

func partID(kind, level, number int) uint64 {
	return uint64(kind+1)<<40 | uint64(level+1)<<32 | uint64(number)
}

// OrganisationName returns the name of an organisation by its number.
func OrganisationName(number int) berylspoke.OrganisationID {
	return berylspoke.OrganisationID(fmt.Sprintf("organisation-%d", number))
}
