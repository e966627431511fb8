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
	// Fraction is the fraction of all requests that are of this kind.
	Fraction  float64
	Objective time.Duration
	// Own and Output are the mean tokens of the request's own segment and of its answer,
	// Sigma the standard deviation of the logarithm of the former; the answer's is half
	// as large.
	Own, Output berylspoke.Tokens
	Sigma       float64
	// Common and Subject are the tokens of the two shared prefix segments, CommonCount
	// and SubjectCount the numbers of different ones.
	Common, Subject           berylspoke.Tokens
	CommonCount, SubjectCount int
}

// Kinds returns the three kinds of requests of the deployments.
func Kinds() []Kind {
	return []Kind{
		{Name: "dossier", Fraction: 0.135, Objective: 800 * time.Millisecond, Own: 6610, Output: 384, Sigma: 1, Common: 512, CommonCount: 3, Subject: 4870, SubjectCount: 147},
		{Name: "revision", Fraction: 0.5, Objective: 400 * time.Millisecond, Own: 628, Output: 288, Sigma: 0.7, Common: 119, CommonCount: 40, Subject: 79, SubjectCount: 246},
		{Name: "summary", Fraction: 0.365, Objective: 500 * time.Millisecond, Own: 1800, Output: 24, Sigma: 1, Common: 341, CommonCount: 40, Subject: 227, SubjectCount: 266},
	}
}

// Pattern changes a load for some time.
type Pattern struct {
	From, Until time.Duration
	// RateFactor multiplies the rate of one organisation; zero leaves all rates as they
	// are.
	RateFactor float64
	// Organisation is the number of that organisation.
	Organisation int
	// HotFraction is the fraction of the dossiers that share one subject.
	HotFraction float64
}

// LoadOptions are the parameters of a load.
type LoadOptions struct {
	Seed              uint64
	Length            time.Duration
	RequestsPerSecond float64
	Organisations     int
	// Skew is the exponent of the Zipf distribution of the organisations' rates.
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
	Segments      []berylspoke.PromptSegment
}

// Arrivals generates the requests of a load, which arrive at a number of entry daemons,
// in order of time.
func Arrivals(options LoadOptions, entries int) []Arrival {
	random := rand.New(rand.NewPCG(options.Seed, 1))
	var arrivals []Arrival
	shares := make([]float64, options.Organisations)
	total := 0.0
	for i := range shares {
		shares[i] = math.Pow(float64(i+1), -options.Skew)
		total += shares[i]
	}
	for organisation, share := range shares {
		rate := options.RequestsPerSecond * share / total
		for at := time.Duration(0); at < options.Length; {
			currentRate := rate * options.rateFactor(organisation, at)
			at += time.Duration(random.ExpFloat64() / currentRate * float64(time.Second))
			if at < options.Length {
				arrivals = append(arrivals, options.newArrival(random, organisation, at, entries))
			}
		}
	}
	sort.SliceStable(arrivals, func(i, j int) bool { return arrivals[i].At < arrivals[j].At })
	return arrivals
}

// rateFactor returns the product of the rate factors of an organisation at a time.
func (options LoadOptions) rateFactor(organisation int, at time.Duration) float64 {
	factor := 1.0
	for _, pattern := range options.Patterns {
		if pattern.RateFactor > 0 && pattern.Organisation == organisation && at >= pattern.From && at < pattern.Until {
			factor *= pattern.RateFactor
		}
	}
	return factor
}

// newArrival generates one request of an organisation.
func (options LoadOptions) newArrival(random *rand.Rand, organisation int, at time.Duration, entries int) Arrival {
	arrival := Arrival{At: at, Organisation: organisation, Entry: random.IntN(entries)}
	point := random.Float64()
	for arrival.Kind = 0; arrival.Kind < len(options.Kinds)-1; arrival.Kind++ {
		if point -= options.Kinds[arrival.Kind].Fraction; point < 0 {
			break
		}
	}
	kind := options.Kinds[arrival.Kind]
	subject := random.IntN(kind.SubjectCount)
	for _, pattern := range options.Patterns {
		if pattern.HotFraction > 0 && arrival.Kind == 0 && at >= pattern.From && at < pattern.Until && random.Float64() < pattern.HotFraction {
			subject = 0
		}
	}
	own := logNormal(random, kind.Own, kind.Sigma)
	arrival.Output = logNormal(random, kind.Output, kind.Sigma/2)
	arrival.Segments = []berylspoke.PromptSegment{
		{ID: segmentID(arrival.Kind, 0, subject%kind.CommonCount), Tokens: kind.Common},
		{ID: segmentID(arrival.Kind, 1, subject), Tokens: kind.Subject},
		{ID: random.Uint64(), Tokens: own},
	}
	arrival.Input = kind.Common + kind.Subject + own
	return arrival
}

// logNormal returns a log-normally distributed number with the given mean, limited to
// maxRatio times the mean.
func logNormal(random *rand.Rand, mean berylspoke.Tokens, sigma float64) berylspoke.Tokens {
	value := float64(mean) * math.Exp(sigma*random.NormFloat64()-sigma*sigma/2)
	const maxRatio = 8
	return berylspoke.Tokens(math.Max(1, math.Min(value, maxRatio*float64(mean))))
}

// segmentID returns the id of a shared prefix segment.
func segmentID(kind, level, number int) uint64 {
	return uint64(kind+1)<<40 | uint64(level+1)<<32 | uint64(number)
}

// OrganisationName returns the name of an organisation by its number.
func OrganisationName(number int) berylspoke.OrganisationID {
	return berylspoke.OrganisationID(fmt.Sprintf("organisation-%d", number))
}
