package main

// This file reads the platform's names from a data file, as Go files outside the folder platform
// must not hold them.

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesFile []byte

// names are the platform's names that the stand-ins use: headers, and the prefix of the store keys of
// targets.
var names = mustReadNames()

type wireNames struct {
	RequestID string `json:"requestID"`
	Seal      string `json:"seal"`
	NotRun    string `json:"notRun"`
	Target    string `json:"target"`
	Entries   string `json:"entries"`
}

func mustReadNames() wireNames {
	var read wireNames
	if err := json.Unmarshal(namesFile, &read); err != nil {
		panic(err)
	}
	return read
}
