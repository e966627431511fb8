package berylpeer

import (
	"fmt"
	"net"
	"reflect"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"berylspoke"
	"berylspoke/core/berylconfig"
	"berylspoke/core/berylfeed"
	"berylspoke/core/berylgate"
	"berylspoke/core/berylmember"
	"berylspoke/core/berylorigin"
	"berylspoke/core/berylquarantine"
	"berylspoke/core/berylshare"
	"berylspoke/core/berylslot"
	"berylspoke/core/berylticket"
	"berylspoke/io/berylstand"
)

func sampleMessages() []berylspoke.Message {
	self := berylspoke.Process{VM: "kgn-a-1", Incarnation: 0xfedcba9876543210}
	other := berylspoke.Process{VM: "mbj-a-2", Incarnation: 3}
	id := berylticket.CallID{Ticket: berylticket.Ticket{Owner: self, Witness: other, Serial: 9}, Number: 4}
	return []berylspoke.Message{
		berylmember.Heartbeat{
			Self: berylmember.Rumour{Process: self, Counter: 2}, ConfigNumber: 7, Serving: true, Sync: true,
			Rumours: []berylmember.Rumour{{Process: other, Counter: 1, Status: berylmember.Dead, Leaving: true}},
		},
		berylconfig.PullRequest{After: 12},
		berylconfig.PullAnswer{Number: 3, Serving: true, Entries: []berylspoke.Published{{Number: 3, Body: []byte("{}")}}, Snapshot: []byte("s")},
		berylslot.Demand{
			From: self, Service: "pens", Sequence: 5, Applied: 4, Waiting: 3,
			Tags: []berylspoke.Tag{10, 12, 30}, VirtualTime: 9, MaxStarted: 8,
			Holdings: []berylslot.Holding{{Target: "pen-1", Held: 2, Used: 1, TokenInterval: 27 * time.Millisecond}},
		},
		berylslot.Lease{
			From: self, Service: "pens", Sequence: 6, Acknowledged: 5, Contended: true, Threshold: 1 << 62, VirtualTime: 40,
			Grants: []berylslot.Grant{{Target: "pen-1", Slots: 2}},
		},
		berylshare.Reports{From: self, Reports: []berylshare.Report{{
			Service: "pens", Organisation: "clergy", Generation: 1, Sequence: 2, Weight: 4,
			Counter: 900, Acknowledged: 800, Base: 225_000, Floor: 100_000,
		}}},
		berylshare.Totals{Totals: []berylshare.Total{{Service: "pens", Organisation: "clergy", Counter: 900, Tag: 250_000}}},
		berylticket.PermitRequest{ID: id},
		berylticket.PermitAnswer{ID: id, Granted: true},
		berylticket.SettleRequest{ID: id, Token: 77},
		berylticket.CloseRequest{ID: id, Token: 78},
		berylticket.SettleAnswer{ID: id, Token: 78, Status: berylticket.StatusMayHaveRun, ByWitness: true},
		berylfeed.Pull{Feed: berylfeed.Targets, After: at(1, 17)},
		berylfeed.Delta{Feed: berylfeed.Targets, Full: true, After: at(1, 17), AsOf: at(2, 21), Changes: []berylfeed.Change{{
			Item:  berylspoke.Item{Key: "pen-1", Value: []byte("{}"), Position: at(2, 20), Deleted: true},
			Grace: 1500 * time.Millisecond, Withheld: 2 * time.Second, Carried: true,
		}}},
		berylgate.Usage{
			Extent: berylgate.DomainUsage, Domain: "a", RestDemand: 5_000,
			Organisations: []berylgate.OrganisationReport{{Organisation: 8, Demand: 9_000, Served: 4_000}},
		},
		berylquarantine.Notices{
			Crashes: []berylquarantine.CrashNotice{{Run: 1 << 63, Age: 70 * time.Millisecond, Suspects: []berylquarantine.SuspectNotice{
				{Suspect: berylquarantine.Suspect{Digest: 1 << 63, Organisation: 1 << 31}, SentAge: 5 * time.Hour, Reporter: 1 << 31, Ordinal: 255},
			}}},
			Clearings: []berylquarantine.ClearingNotice{{Digest: 9, Age: 10 * time.Microsecond}},
		},
		berylorigin.Began{Records: []berylorigin.Record{{Key: berylorigin.KeyOf("clergy", "9c41"), Build: 1 << 63}, {Key: berylorigin.KeyOf("union", "9c41"), Build: 0}}},
		berylorigin.Inquiry{Number: 7},
		berylorigin.Account{
			Number: 7, Age: 300 * time.Millisecond, Gapless: 2 * time.Hour, Unbounded: true,
			Gone: []berylorigin.GoneBuild{{Service: "pens", Version: "v1", Build: 1 << 63, Age: 4 * time.Second}},
		},
		berylorigin.Question{Key: berylorigin.KeyOf("clergy", "9c41"), Service: "pens"},
		berylorigin.Answer{Key: berylorigin.KeyOf("clergy", "9c41"), Known: true, Build: 1 << 63, Only: true},
		berylgate.Report{
			Incarnation: 5, Version: 54, Feeds: []berylspoke.Position{at(2, 20), at(2, 21)}, Contact: 300 * time.Millisecond, ContactID: 7<<32 | 1, Complete: []berylspoke.Position{at(2, 20), at(1, 22)},
			Targets:       []berylgate.TargetReport{{Target: 9, WorkMillis: 1_200, Running: 3, Tokens: 24_000}},
			Loads:         []berylgate.LoadReport{{Target: 9, Running: 12, Waiting: 3, Age: 200 * time.Millisecond}},
			Silences:      []berylgate.SilenceReport{{Target: 9, Silent: 300 * time.Millisecond, Answered: time.Second}},
			Leavings:      []berylgate.LeavingReport{{Target: 9, Run: 4, Age: 250 * time.Millisecond}},
			Waits:         []berylgate.WaitReport{{Target: 9, Wait: 400 * time.Millisecond, Age: 100 * time.Millisecond}},
			Organisations: []berylgate.OrganisationReport{{Organisation: 8, Demand: 9_000, Served: 4_000}},
		},
	}
}

func at(era berylspoke.Era, revision berylspoke.Revision) berylspoke.Position {
	return berylspoke.Position{Era: era, Revision: revision}
}

func TestMessagesRoundTrip(t *testing.T) {
	var packet []byte
	for _, message := range sampleMessages() {
		body, err := encode(message)
		require.NoError(t, err)
		packet = append(packet, body...)
	}
	decoded, err := decode("kgn-a-1", packet, new(kindCounts).add)
	require.NoError(t, err)
	require.Equal(t, sampleMessages(), decoded)
	require.Len(t, decoded, len(newWireMessage), "sampleMessages lacks a kind of message")
}

// FuzzDecode decodes truncated and altered packets. Each message that decodes must
// encode, and decode again to the same message.
func FuzzDecode(f *testing.F) {
	for _, message := range sampleMessages() {
		body, _ := encode(message)
		f.Add(body)
		f.Add(body[:len(body)/2])
	}
	f.Add([]byte{byte(kindDemand), 0x9f, 0xff})
	f.Add([]byte{200, 1, 2, 3})
	f.Fuzz(func(t *testing.T, packet []byte) {
		messages, _ := decode("vm", packet, new(kindCounts).add)
		for _, message := range messages {
			body, err := encode(message)
			require.NoError(t, err)
			again, err := decode("vm", body, new(kindCounts).add)
			require.NoError(t, err)
			require.True(t, reflect.DeepEqual(message, again[0]), "%#v became %#v", message, again[0])
		}
	})
}

// locations maps VMs to addresses; it implements Locator.
type locations map[berylspoke.VMID]string

func (locator locations) PeerAddress(vm berylspoke.VMID) string { return locator[vm] }
func (locator locations) Link(berylspoke.VMID) Link             { return AcrossDomains }

// inbox collects the messages that one transport received.
type inbox struct {
	mutex    sync.Mutex
	received []berylspoke.Message
}

func (inbox *inbox) handle(_ berylspoke.VMID, messages []berylspoke.Message) {
	inbox.mutex.Lock()
	defer inbox.mutex.Unlock()
	inbox.received = append(inbox.received, messages...)
}

func (inbox *inbox) contains(message berylspoke.Message) bool {
	inbox.mutex.Lock()
	defer inbox.mutex.Unlock()
	for _, item := range inbox.received {
		if reflect.DeepEqual(item, message) {
			return true
		}
	}
	return false
}

// freeAddress returns an unused UDP address.
func freeAddress(t *testing.T, host string) string {
	t.Helper()
	conn, err := net.ListenPacket("udp", host+":0")
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	return conn.LocalAddr().String()
}

func listen(t *testing.T, vm berylspoke.VMID, address, key string, locator locations) (*Transport, *inbox) {
	t.Helper()
	inbox := new(inbox)
	transport, err := Listen(Options{
		VM: vm, Address: address, Keys: [][]byte{[]byte(key)}, Locator: locator, Handler: inbox.handle, Log: zap.NewNop(),
	})
	require.NoError(t, err)
	t.Cleanup(transport.Close)
	return transport, inbox
}

const (
	fleetKey    = "a fleet key of enough bytes"
	testTimeout = 60 * time.Second
)

// Guards against two daemons that stay disconnected after a middlebox lost its state
// for their flow: it drops all packets between the two ports for good, while other
// ports work. Messages must arrive again without intervention.
func TestSilentConnectionIsReplaced(t *testing.T) {
	left, right, relayAddress := freeAddress(t, "127.8.0.1"), freeAddress(t, "127.8.0.2"), freeAddress(t, "127.8.0.3")
	relay, err := berylstand.NewPacketRelay(relayAddress, right, func(string, string) bool { return true })
	require.NoError(t, err)
	defer relay.Close()
	locator := locations{"left": left, "right": relayAddress}
	sender, _ := listen(t, "left", left, fleetKey, locator)
	_, inbox := listen(t, "right", right, fleetKey, locator)
	number := berylspoke.PatchNumber(0)
	arrives := func() bool {
		number++
		sender.Send("right", berylconfig.PullRequest{After: number})
		time.Sleep(50 * time.Millisecond)
		return inbox.contains(berylconfig.PullRequest{After: number})
	}
	require.Eventually(t, arrives, testTimeout, 10*time.Millisecond)
	require.Positive(t, relay.Blackhole())
	require.Eventually(t, arrives, testTimeout, 10*time.Millisecond, "messages arrive again")
}

// A process that holds another fleet's key must not connect or deliver a message.
func TestForeignKeyIsRefused(t *testing.T) {
	left, right := freeAddress(t, "127.8.0.1"), freeAddress(t, "127.8.0.2")
	locator := locations{"left": left, "right": right}
	foreignSender, _ := listen(t, "left", left, "another fleet's key, as long", locator)
	receiver, inbox := listen(t, "right", right, fleetKey, locator)
	for range 5 {
		foreignSender.Send("right", berylconfig.PullRequest{After: 1})
		time.Sleep(100 * time.Millisecond)
	}
	require.Empty(t, inbox.received)
	require.Zero(t, receiver.Connections())
}

// A message larger than a datagram, such as a snapshot, must arrive whole on a stream.
func TestLargeMessageArrives(t *testing.T) {
	left, right := freeAddress(t, "127.8.0.1"), freeAddress(t, "127.8.0.2")
	locator := locations{"left": left, "right": right}
	sender, _ := listen(t, "left", left, fleetKey, locator)
	_, inbox := listen(t, "right", right, fleetKey, locator)
	large := berylconfig.PullAnswer{Number: 1, Snapshot: make([]byte, 3<<20)}
	require.Eventually(t, func() bool {
		sender.Send("right", large)
		time.Sleep(200 * time.Millisecond)
		return inbox.contains(large)
	}, testTimeout, 10*time.Millisecond)
}

func BenchmarkEncodeDemand(b *testing.B) {
	demand := sampleMessages()[3]
	b.ReportAllocs()
	for range b.N {
		body, _ := encode(demand)
		b.SetBytes(int64(len(body)))
	}
}

func BenchmarkDecodeHeartbeat(b *testing.B) {
	for _, count := range []int{0, 16} {
		b.Run(fmt.Sprintf("rumours=%d", count), func(b *testing.B) {
			heartbeat := sampleMessages()[0].(berylmember.Heartbeat)
			heartbeat.Rumours = make([]berylmember.Rumour, count)
			body, _ := encode(heartbeat)
			b.ReportAllocs()
			for range b.N {
				_, _ = decode("vm", body, new(kindCounts).add)
			}
		})
	}
}

// Guards against reports that are late because a large message to the same peer, which
// its receiver takes slowly, is sent before them.
func TestLargeMessageDoesNotDelaySmallOnes(t *testing.T) {
	const large = 6 << 20
	release := make(chan struct{})
	small := make(chan struct{}, 1)
	addresses := locations{"a": freeAddress(t, "127.0.0.1"), "b": freeAddress(t, "127.0.0.1")}
	open := func(vm berylspoke.VMID, handler Handler) *Transport {
		transport, err := Listen(Options{
			VM: vm, Address: addresses[vm], Keys: [][]byte{[]byte(fleetKey)}, Locator: addresses, Handler: handler, Log: zap.NewNop(),
		})
		require.NoError(t, err)
		t.Cleanup(transport.Close)
		return transport
	}
	open("b", func(_ berylspoke.VMID, messages []berylspoke.Message) {
		if _, isDelta := messages[0].(berylfeed.Delta); isDelta {
			<-release
			return
		}
		small <- struct{}{}
	})
	t.Cleanup(func() { close(release) })
	sender := open("a", func(berylspoke.VMID, []berylspoke.Message) {})
	delta := berylfeed.Delta{AsOf: at(0, 1), Changes: []berylfeed.Change{{Item: berylspoke.Item{Key: "k", Value: make([]byte, large)}}}}
	sender.Send("b", delta)
	sender.Send("b", delta)
	time.Sleep(time.Second)
	sender.Send("b", berylfeed.Pull{After: at(0, 1)})
	select {
	case <-small:
	case <-time.After(5 * time.Second):
		t.Fatal("the small message waits behind the large ones")
	}
}

// Guards against messages of a kind that no metric shows: a flood of evidence on crashes stood in none.
func TestMessagesAreCountedByKind(t *testing.T) {
	body, err := encode(berylquarantine.Notices{Clearings: []berylquarantine.ClearingNotice{{Digest: 1}}})
	require.NoError(t, err)
	var traffic Traffic
	_, err = decode("vm", append(body, body...), traffic.received.add)
	require.NoError(t, err)
	require.Equal(t, KindStats{Messages: 2, Bytes: uint64(2 * len(body))}, traffic.ReceivedByKind()["crashes"])
	require.Len(t, traffic.ReceivedByKind(), len(newWireMessage), "each kind has a label")
}
