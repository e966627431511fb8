package berylconfig

// This file defines patches, their strict decoding and their application.

import (
	"bytes"
	"encoding/json"
	"maps"

	"github.com/pkg/errors"

	"berylspoke"
)

// Patch changes the declarations of version Base; a null value removes the declaration of
// its id, and any other value replaces it as a whole.
type Patch struct {
	Base berylspoke.ConfigVersion `json:"base"`
	// BaseHash is a prefix of the hash of version Base, or empty. It rejects a patch that
	// was made against another history.
	BaseHash       string                                      `json:"baseHash,omitempty"`
	Note           string                                      `json:"note,omitempty"`
	FailureDomains map[berylspoke.FailureDomain]*Domain        `json:"failureDomains,omitempty"`
	Organisations  map[berylspoke.OrganisationID]*Organisation `json:"organisations,omitempty"`
	Services       map[berylspoke.ServiceID]*Service           `json:"services,omitempty"`
	Targets        map[berylspoke.TargetID]*Target             `json:"targets,omitempty"`
}

// MaxPatchBytes is the platform's limit on one published value.
const MaxPatchBytes = 1 << 20

// ParsePatch decodes a published patch and rejects unknown fields.
func ParsePatch(body []byte) (*Patch, error) {
	if len(body) > MaxPatchBytes {
		return nil, errors.Errorf("patch of %d bytes exceeds %d", len(body), MaxPatchBytes)
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	patch := new(Patch)
	if err := decoder.Decode(patch); err != nil {
		return nil, errors.Wrap(err, "patch is not valid")
	}
	if decoder.More() {
		return nil, errors.New("patch is followed by more data")
	}
	return patch, nil
}

// Apply returns new declarations with the patch applied; old is not modified, and maps
// that the patch does not change are shared.
func (patch *Patch) Apply(old *Declarations) *Declarations {
	next := *old
	if len(patch.FailureDomains) > 0 {
		next.FailureDomains = maps.Clone(old.FailureDomains)
		for id, domain := range patch.FailureDomains {
			if next.FailureDomains == nil {
				next.FailureDomains = make(map[berylspoke.FailureDomain]Domain)
			}
			delete(next.FailureDomains, id)
			if domain != nil {
				next.FailureDomains[id] = *domain
			}
		}
	}
	if len(patch.Organisations) > 0 {
		next.Organisations = maps.Clone(old.Organisations)
		for id, organisation := range patch.Organisations {
			if next.Organisations == nil {
				next.Organisations = make(map[berylspoke.OrganisationID]Organisation)
			}
			delete(next.Organisations, id)
			if organisation != nil {
				next.Organisations[id] = *organisation
			}
		}
	}
	if len(patch.Services) > 0 {
		next.Services = maps.Clone(old.Services)
		for id, service := range patch.Services {
			if next.Services == nil {
				next.Services = make(map[berylspoke.ServiceID]Service)
			}
			delete(next.Services, id)
			if service != nil {
				next.Services[id] = *service
			}
		}
	}
	if len(patch.Targets) > 0 {
		next.Targets = maps.Clone(old.Targets)
		for id, target := range patch.Targets {
			if next.Targets == nil {
				next.Targets = make(map[berylspoke.TargetID]Target)
			}
			delete(next.Targets, id)
			if target != nil {
				next.Targets[id] = *target
			}
		}
	}
	return &next
}
