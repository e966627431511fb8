package berylpeer

import (
	"flag"
	"net"
	"net/netip"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"berylspoke"
	"berylspoke/core/berylconfig"
)

// TestMain sets a fixed seed, so that the result is the same on every run.
func TestMain(tests *testing.M) {
	_ = flag.Set("rapid.checks", "200")
	_ = flag.Set("rapid.seed", "1")
	flag.Parse()
	os.Exit(tests.Run())
}

var nopLog = zap.NewNop()

// numbers are the patch numbers that one VM received, in order.
type numbers struct {
	mutex sync.Mutex
	seen  []berylspoke.PatchNumber
}

func (numbers *numbers) handle(_ berylspoke.VMID, messages []berylspoke.Message) {
	numbers.mutex.Lock()
	defer numbers.mutex.Unlock()
	for _, message := range messages {
		numbers.seen = append(numbers.seen, message.(berylconfig.PullRequest).After)
	}
}

func (numbers *numbers) count() int {
	numbers.mutex.Lock()
	defer numbers.mutex.Unlock()
	return len(numbers.seen)
}

// wire is a socket between two transports that records what passes from the first.
type wire struct {
	conn     *net.UDPConn
	to       netip.AddrPort
	mutex    sync.Mutex
	recorded [][]byte
}

func newWire(t *testing.T, address, to string) *wire {
	t.Helper()
	local, err := netip.ParseAddrPort(address)
	require.NoError(t, err)
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(local))
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	wire := &wire{conn: conn, to: netip.MustParseAddrPort(to)}
	go wire.forward()
	return wire
}

func (wire *wire) forward() {
	var left netip.AddrPort
	buffer := make([]byte, maxPacketBytes)
	for {
		size, from, err := wire.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		to := wire.to
		if from == wire.to {
			to = left
		} else {
			left = from
			wire.mutex.Lock()
			wire.recorded = append(wire.recorded, append([]byte(nil), buffer[:size]...))
			wire.mutex.Unlock()
		}
		_, _ = wire.conn.WriteToUDPAddrPort(buffer[:size], to)
	}
}

// replay sends everything again that passed.
func (wire *wire) replay() {
	wire.mutex.Lock()
	defer wire.mutex.Unlock()
	for _, packet := range wire.recorded {
		_, _ = wire.conn.WriteToUDPAddrPort(packet, wire.to)
	}
}

func sendNumbers(sender *Transport, to berylspoke.VMID, from, until berylspoke.PatchNumber) {
	for number := from; number < until; number++ {
		sender.Send(to, berylconfig.PullRequest{After: number})
		time.Sleep(time.Millisecond)
	}
}

func openTransport(t *testing.T, vm berylspoke.VMID, address string, locator locations, handler Handler) *Transport {
	t.Helper()
	transport, err := Listen(Options{VM: vm, Address: address, Keys: [][]byte{[]byte(fleetKey)}, Locator: locator, Handler: handler, Log: nopLog})
	require.NoError(t, err)
	t.Cleanup(transport.Close)
	return transport
}

// Guards against messages that take effect again because somebody on the path sends their
// datagrams again: to the same run of the receiver, or to its next one.
func TestReplayedDatagramsAreIgnored(t *testing.T) {
	left, right, between := freeAddress(t, "127.8.0.1"), freeAddress(t, "127.8.0.2"), freeAddress(t, "127.8.0.3")
	recorder := newWire(t, between, right)
	locator := locations{"left": left, "right": between}
	first := new(numbers)
	receiver := openTransport(t, "right", right, locator, first.handle)
	sender := openTransport(t, "left", left, locator, new(numbers).handle)
	sendNumbers(sender, "right", 0, 40)
	require.Eventually(t, func() bool { return first.count() == 40 }, testTimeout, time.Millisecond)
	recorder.replay()
	time.Sleep(200 * time.Millisecond)
	require.Equal(t, 40, first.count())
	receiver.Close()
	sender.Close()
	second := new(numbers)
	openTransport(t, "right", right, locator, second.handle)
	recorder.replay()
	time.Sleep(200 * time.Millisecond)
	require.Zero(t, second.count())
}

// Guards against a restarted daemon that its peers ignore, or that is sent nothing, because
// both sides still use the numbers of its earlier run.
func TestRestartedPeerIsHeardAndSentTo(t *testing.T) {
	left, right := freeAddress(t, "127.8.0.1"), freeAddress(t, "127.8.0.2")
	locator := locations{"left": left, "right": right}
	atLeft := new(numbers)
	staying := openTransport(t, "left", left, locator, atLeft.handle)
	for range 3 {
		atRight := new(numbers)
		restarted := openTransport(t, "right", right, locator, atRight.handle)
		before := atLeft.count()
		require.Eventually(t, func() bool {
			staying.Send("right", berylconfig.PullRequest{After: 1})
			restarted.Send("left", berylconfig.PullRequest{After: 2})
			time.Sleep(20 * time.Millisecond)
			return atLeft.count() > before && atRight.count() > 0
		}, 5*time.Second, time.Millisecond)
		restarted.Close()
	}
}

// Guards against datagrams that are read by another VM than they were sent to, or that
// arrive altered.
func TestDatagramIsForOneReceiver(t *testing.T) {
	aead, err := datagramCipher([]byte(fleetKey), "a", 7, "b")
	require.NoError(t, err)
	sent := header{vm: "a", sender: 7, receiver: 9, counter: 3}
	packet := seal(aead, sent, []byte("body"))
	parsed, size, err := parseHeader(packet)
	require.NoError(t, err)
	require.Equal(t, sent, parsed)
	body, err := aead.Open(nil, nonce(parsed.counter), packet[size:], packet[:size])
	require.NoError(t, err)
	require.Equal(t, "body", string(body))
	for i := range packet {
		altered := append([]byte(nil), packet...)
		altered[i] ^= 1
		if parsed, size, err := parseHeader(altered); err == nil {
			_, err = aead.Open(nil, nonce(parsed.counter), altered[size:], altered[:size])
			require.Error(t, err, "byte %d", i)
		}
	}
	other, err := datagramCipher([]byte(fleetKey), "a", 7, "c")
	require.NoError(t, err)
	_, err = other.Open(nil, nonce(3), packet[size:], packet[:size])
	require.Error(t, err)
}

// Guards against a counter that is accepted twice, or new ones that are refused after
// others were lost or arrived out of order.
func TestReplayWindowAcceptsEachCounterOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var window replayWindow
		accepted := make(map[uint64]bool)
		highest := uint64(0)
		for range rapid.IntRange(1, 300).Draw(t, "count") {
			counter := uint64(max(1, int(highest)+rapid.IntRange(-80, 70).Draw(t, "step")))
			fresh := window.accept(counter)
			if accepted[counter] && fresh {
				t.Fatalf("counter %d is accepted twice", counter)
			}
			if counter > highest && !fresh {
				t.Fatalf("counter %d is above %d and refused", counter, highest)
			}
			if highest < counter+60 && !accepted[counter] && !fresh {
				t.Fatalf("counter %d is refused, highest is %d", counter, highest)
			}
			accepted[counter] = accepted[counter] || fresh
			highest = max(highest, counter)
		}
	})
}

// Guards against a receiver that stops or keeps state for a packet of anybody without the
// fleet key.
func FuzzReceiveDatagram(f *testing.F) {
	aead, _ := datagramCipher([]byte("another fleet's key, as long"), "a", 7, "vm")
	f.Add(seal(aead, header{vm: "a", sender: 7, counter: 1}, []byte("body")))
	f.Add([]byte{datagramMark, 0, 255})
	transport := &Transport{
		options: Options{VM: "vm", Keys: [][]byte{[]byte(fleetKey)}, Locator: locations{}, Log: nopLog},
		epoch:   1, flows: make(map[berylspoke.VMID]*flow), socket: &countingSocket{},
	}
	f.Fuzz(func(t *testing.T, packet []byte) {
		transport.receiveDatagram(time.Unix(0, 0), path{}, packet)
		require.Empty(t, transport.flows)
	})
}
