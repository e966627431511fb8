package berylpeer

import (
	"bytes"
	"math"
	"reflect"
	"testing"
	"time"

	"berylspoke"
	"berylspoke/core/berylgate"
	"berylspoke/core/berylquarantine"
)

// Guards against a daemon that ends as it decodes a message of a peer, and against numbers in it that
// overflow what they are added to.
func FuzzDecodedMessages(f *testing.F) {
	for _, message := range sampleMessages() {
		packet, err := encode(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(packet)
		f.Add(packet[:len(packet)/2])
	}
	for number := kindHeartbeat; number < kindsEnd; number++ {
		// Lists in lists, a length beyond all memory, and the largest numbers.
		f.Add(append([]byte{byte(number)}, bytes.Repeat([]byte{0x81}, 100)...))
		f.Add([]byte{byte(number), 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
		f.Add(append([]byte{byte(number), 0x8c}, bytes.Repeat([]byte{0x1b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, 12)...))
	}
	for number, wire := range map[kind]wireMessage{
		kindDaemonReport: &wireDaemonReport{
			Targets: []wireTargetReport{{Running: math.MaxInt, Tokens: math.MinInt64, PendingMillis: math.MaxUint32}, {Running: -1}},
			Loads:   []wireLoadReport{{Running: math.MaxInt, Waiting: math.MinInt}},
		},
		kindCrashEvidence: &wireCrashEvidence{
			Crashes:   []wireCrash{{AgeMicros: math.MaxUint64, Suspects: []wireSuspect{{SentAgeMicros: math.MaxUint64}}}},
			Clearings: []wireClearing{{AgeMicros: math.MaxInt64}},
		},
		kindFeedDelta: &wireFeedDelta{Feed: math.MaxUint8, Changes: []wireChange{{Key: "\xff", Position: wirePosition{Era: math.MaxUint64}}}},
	} {
		body, err := encMode.Marshal(wire)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(append([]byte{byte(number)}, body...))
	}
	f.Fuzz(func(t *testing.T, packet []byte) {
		messages, _ := decode("vm-1", packet, new(kindCounts).add)
		for _, message := range messages {
			checkBounds(t, message)
			encoded, err := encode(message)
			if err != nil {
				t.Fatalf("%T is not encoded again: %v", message, err)
			}
			again, err := decode("vm-1", encoded, new(kindCounts).add)
			if err != nil || len(again) != 1 || !reflect.DeepEqual(again[0], message) {
				t.Fatalf("%#v became %#v, %v", message, again, err)
			}
		}
	})
}

// checkBounds fails if a number of a message is not within the bounds of decoded ones.
func checkBounds(t *testing.T, message berylspoke.Message) {
	const most = 24 * time.Hour
	switch message := message.(type) {
	case berylgate.Report:
		for _, item := range message.Loads {
			if item.Running < 0 || item.Running > maxCount || item.Waiting < 0 || item.Waiting > maxCount {
				t.Fatalf("%+v", item)
			}
		}
		for _, item := range message.Targets {
			if item.Running < 0 || item.Running > maxCount || item.Tokens < 0 || item.Tokens > maxTokens {
				t.Fatalf("%+v", item)
			}
		}
	case berylquarantine.Notices:
		for _, item := range message.Crashes {
			if item.Age < 0 || item.Age > most {
				t.Fatalf("%+v", item)
			}
			for _, suspect := range item.Suspects {
				if suspect.SentAge < 0 || suspect.SentAge > most {
					t.Fatalf("%+v", suspect)
				}
			}
		}
		for _, item := range message.Clearings {
			if item.Age < 0 || item.Age > most {
				t.Fatalf("%+v", item)
			}
		}
	}
}
