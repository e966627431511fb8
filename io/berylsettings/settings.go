package berylsettings

// This file defines the settings, their defaults and their validation.

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"

	"berylspoke"
	"berylspoke/core/berylnode"
	"berylspoke/core/berylshare"
)

// Settings is the configuration of one daemon, read when it starts.
type Settings struct {
	VM              berylspoke.VMID          `json:"vm"`
	FailureDomain   berylspoke.FailureDomain `json:"failureDomain"`
	PeerAddress     string                   `json:"peerAddress"`
	CallAddress     string                   `json:"callAddress"`
	OperatorAddress string                   `json:"operatorAddress"`
	OperatorToken   string                   `json:"operatorToken"`
	Platform        string                   `json:"platform"`
	FleetKeys       []string                 `json:"fleetKeys"`
	CallTLS         *TLS                     `json:"callTLS"`
	Policy          berylshare.Policy        `json:"policy"`
	LogLevel        string                   `json:"logLevel"`
	MemoryMB        int                      `json:"memoryMB"`
	Callers         Callers                  `json:"callers"`
	Fairness        Fairness                 `json:"fairness"`
	Regions         Regions                  `json:"regions"`
	Targets         Targets                  `json:"targets"`
}

// TLS names the files of the certificate presented to callers.
type TLS struct {
	CertificateFile string `json:"certificateFile"`
	KeyFile         string `json:"keyFile"`
}

// Callers bounds the requests and connections of callers.
type Callers struct {
	MaxBodyBytes      int64 `json:"maxBodyBytes"`
	MaxHeaderBytes    int   `json:"maxHeaderBytes"`
	MaxConnections    int   `json:"maxConnections"`
	ReadTimeoutMillis int   `json:"readMillis"`
	MaxWaitMillis     int   `json:"maxWaitMillis"`
	HeartbeatMillis   int   `json:"heartbeatMillis"`
	AddressTTLMillis  int   `json:"keepMillis"`
}

// Fairness bounds the service gap between organisations, in tokens at weight one.
type Fairness struct {
	CatchUpTokens        berylspoke.Tokens `json:"catchUpTokens"`
	LeadTokens           berylspoke.Tokens `json:"leadTokens"`
	SlackTokens          berylspoke.Tokens `json:"slackTokens"`
	QuantumTokens        berylspoke.Tokens `json:"quantumTokens"`
	ReportIntervalMillis int               `json:"reportMillis"`
}

// Regions bounds the work and the traffic between regions.
type Regions struct {
	CrossAfterMillis    int               `json:"crossAfterMillis"`
	CrossMarginTokens   berylspoke.Tokens `json:"crossMarginTokens"`
	CrossBytesPerSecond int               `json:"crossBytesPerSecond"`
}

// Targets holds the timeouts of requests to targets, the interval of their load checks
// and the goal for the time between tokens.
type Targets struct {
	FirstTokenTimeoutMillis int `json:"firstTokenMillis"`
	ProgressTimeoutMillis   int `json:"progressMillis"`
	CallTimeoutMillis       int `json:"callMillis"`
	LoadIntervalMillis      int `json:"loadMillis"`
	TokenIntervalMillis     int `json:"paceMillis"`
}

// Defaults returns the values of settings that the file leaves out.
func Defaults() Settings {
	node := berylnode.DefaultOptions()
	return Settings{
		Policy:   berylshare.FleetFair,
		LogLevel: "info",
		MemoryMB: 256,
		Callers: Callers{
			MaxBodyBytes: 4 << 20, MaxHeaderBytes: 16 << 10, MaxConnections: 4096,
			ReadTimeoutMillis: 10_000, MaxWaitMillis: 120_000, HeartbeatMillis: 2_000, AddressTTLMillis: 30_000,
		},
		Fairness: Fairness{
			CatchUpTokens:        berylspoke.Tokens(node.Queue.CatchUp / berylspoke.TagScale),
			LeadTokens:           berylspoke.Tokens(node.Queue.Lead / berylspoke.TagScale),
			SlackTokens:          600,
			QuantumTokens:        node.Quantum,
			ReportIntervalMillis: int(node.ReportEvery.Milliseconds()),
		},
		Regions: Regions{
			CrossAfterMillis:    int(node.CrossAfter.Milliseconds()),
			CrossMarginTokens:   berylspoke.Tokens(node.CrossMargin / berylspoke.TagScale),
			CrossBytesPerSecond: int(node.CrossBytesPerSecond),
		},
		Targets: Targets{FirstTokenTimeoutMillis: 2_000, ProgressTimeoutMillis: 1_000, CallTimeoutMillis: 20_000, LoadIntervalMillis: 2_000, TokenIntervalMillis: 30},
	}
}

// Load reads and validates a settings file.
func Load(path string) (*Settings, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings file cannot be read")
	}
	settings := Defaults()
	if err := Decode(body, &settings); err != nil {
		return nil, errors.Wrap(err, path)
	}
	if faults := settings.Validate(); len(faults) > 0 {
		return nil, errors.Errorf("%s: %s", path, faults[0])
	}
	return &settings, nil
}

// Validate returns a message for each invalid field.
func (settings *Settings) Validate() []string {
	var faults []string
	report := func(field, format string, args ...any) {
		faults = append(faults, field+": "+fmt.Sprintf(format, args...))
	}
	if settings.VM == "" {
		report("vm", "is empty")
	}
	if settings.FailureDomain == "" {
		report("failureDomain", "is empty")
	}
	addresses := []struct{ field, value string }{
		{"peerAddress", settings.PeerAddress}, {"callAddress", settings.CallAddress},
		{"operatorAddress", settings.OperatorAddress}, {"platform", settings.Platform},
	}
	for _, address := range addresses {
		if _, err := netip.ParseAddrPort(address.value); err != nil {
			report(address.field, "%q is not an IP number and a port", address.value)
		}
	}
	if len(settings.OperatorToken) < minTokenLength {
		report("operatorToken", "is shorter than %d characters", minTokenLength)
	}
	if len(settings.FleetKeys) == 0 {
		report("fleetKeys", "is empty")
	}
	for i, key := range settings.FleetKeys {
		if raw, err := hex.DecodeString(key); err != nil || len(raw) < minKeyBytes {
			report(fmt.Sprintf("fleetKeys[%d]", i), "is not hexadecimal of at least %d bytes", minKeyBytes)
		}
	}
	switch settings.Policy {
	case berylshare.FleetFair, berylshare.LocalFair, berylshare.FirstCome:
	default:
		report("policy", "%q is none of fleetFair, localFair, firstCome", settings.Policy)
	}
	positives := []struct {
		field string
		value int64
	}{
		{"memoryMB", int64(settings.MemoryMB)},
		{"callers.maxBodyBytes", settings.Callers.MaxBodyBytes},
		{"callers.maxHeaderBytes", int64(settings.Callers.MaxHeaderBytes)},
		{"callers.maxConnections", int64(settings.Callers.MaxConnections)},
		{"callers.readMillis", int64(settings.Callers.ReadTimeoutMillis)},
		{"callers.maxWaitMillis", int64(settings.Callers.MaxWaitMillis)},
		{"callers.heartbeatMillis", int64(settings.Callers.HeartbeatMillis)},
		{"callers.keepMillis", int64(settings.Callers.AddressTTLMillis)},
		{"fairness.catchUpTokens", int64(settings.Fairness.CatchUpTokens)},
		{"fairness.leadTokens", int64(settings.Fairness.LeadTokens)},
		{"fairness.quantumTokens", int64(settings.Fairness.QuantumTokens)},
		{"fairness.reportMillis", int64(settings.Fairness.ReportIntervalMillis)},
		{"targets.firstTokenMillis", int64(settings.Targets.FirstTokenTimeoutMillis)},
		{"targets.progressMillis", int64(settings.Targets.ProgressTimeoutMillis)},
		{"targets.callMillis", int64(settings.Targets.CallTimeoutMillis)},
		{"targets.loadMillis", int64(settings.Targets.LoadIntervalMillis)},
		{"targets.paceMillis", int64(settings.Targets.TokenIntervalMillis)},
	}
	for _, positive := range positives {
		if positive.value <= 0 {
			report(positive.field, "%d is not positive", positive.value)
		}
	}
	return faults
}

// MemoryBytes returns the memory that the process may take.
func (settings *Settings) MemoryBytes() int64 { return int64(settings.MemoryMB) << 20 }

const (
	minTokenLength = 16
	minKeyBytes    = 16
)

// DecodedKeys returns the decoded fleet keys; the settings must be valid.
func (settings *Settings) DecodedKeys() [][]byte {
	keys := make([][]byte, len(settings.FleetKeys))
	for i, key := range settings.FleetKeys {
		keys[i], _ = hex.DecodeString(key)
	}
	return keys
}

// NodeOptions returns the options of the core for these settings.
func (settings *Settings) NodeOptions(incarnation berylspoke.Incarnation) berylnode.Options {
	options := berylnode.DefaultOptions()
	options.VM = berylspoke.VM{
		ID: settings.VM, FailureDomain: settings.FailureDomain,
		PeerAddress: settings.PeerAddress, CallAddress: settings.CallAddress,
	}
	options.Incarnation = incarnation
	options.Policy = settings.Policy
	options.Queue.CatchUp = berylspoke.Weight(1).Normalise(settings.Fairness.CatchUpTokens)
	options.Queue.Lead = berylspoke.Weight(1).Normalise(settings.Fairness.LeadTokens)
	options.Lessor.Slack = berylspoke.Weight(1).Normalise(settings.Fairness.SlackTokens)
	options.Lessor.Limiter.TokenInterval = Millis(settings.Targets.TokenIntervalMillis)
	options.Quantum = settings.Fairness.QuantumTokens
	options.ReportEvery = Millis(settings.Fairness.ReportIntervalMillis)
	options.CrossAfter = Millis(settings.Regions.CrossAfterMillis)
	options.CrossMargin = berylspoke.Weight(1).Normalise(settings.Regions.CrossMarginTokens)
	options.CrossBytesPerSecond = float64(settings.Regions.CrossBytesPerSecond)
	return options
}

// Millis converts a number of milliseconds to a duration.
func Millis(count int) time.Duration { return time.Duration(count) * time.Millisecond }
