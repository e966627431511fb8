package berylingress

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"berylspoke/core/berylintake"
	"berylspoke/io/berylresponse"
)

func newIngress(limits berylintake.Limits) *Ingress {
	return New(limits, metrics.NewSet(), zap.NewNop())
}

// Guards against a body that breaks off and is taken for whole, or that loses bytes between its parts.
func TestBodyIsWholeOrAnError(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := bytes.Repeat([]byte("0123456789abcdef"), rapid.IntRange(0, 5000).Draw(t, "size"))
		text = text[:len(text)-rapid.IntRange(0, min(len(text), 15)).Draw(t, "cut")]
		sources := map[string]io.Reader{
			"plain": bytes.NewReader(text), "with its end": iotest.DataErrReader(bytes.NewReader(text)), "halves": iotest.HalfReader(bytes.NewReader(text)),
		}
		for name, source := range sources {
			var body BodyBytes
			length := rapid.SampledFrom([]int64{-1, int64(len(text))}).Draw(t, "length")
			require.NoError(t, body.Fill(nil, source, length), name)
			require.True(t, bytes.Equal(text, body.Bytes()), name)
			read, err := io.ReadAll(body.Reader())
			require.NoError(t, err)
			require.True(t, bytes.Equal(text, read), name)
			require.EqualValues(t, len(text), body.Len())
		}
		var body BodyBytes
		broken := io.MultiReader(bytes.NewReader(text), iotest.ErrReader(io.ErrUnexpectedEOF))
		require.ErrorIs(t, body.Fill(nil, broken, -1), io.ErrUnexpectedEOF)
		var short BodyBytes
		require.ErrorIs(t, short.Fill(nil, bytes.NewReader(text), int64(len(text))+1), io.ErrUnexpectedEOF)
	})
}

// Guards against small requests and answers that are refused, or that fail after they have run, as others hold the
// memory.
func TestSmallRequestsAndAnswersNeedNoRoom(t *testing.T) {
	ingress := newIngress(berylintake.Limits{Bytes: 1 << 20})
	now := time.Now()
	for range 100 {
		ingress.Open(now, func() {}).GrowBody(now, 100<<10)
	}
	hold := ingress.Open(now, func() {})
	head := "POST /x HTTP/1.1\r\n" + strings.Repeat("Name: value\r\n", 12)
	require.True(t, hold.Read(now, []byte(head)))
	require.True(t, hold.Handle(now, http.Header{"Name": strings.Split(strings.Repeat("value,", 12), ",")}, "organisation"))
	require.True(t, hold.GrowBody(now, 4<<10))
	require.True(t, hold.Serve(now))
	hold.GrowAnswer(4 << 10)
	require.False(t, hold.GrowBody(now, 1<<20))
}

// Guards against a body with many lines that is counted as a head because it arrived with it.
func TestBodyThatArrivesWithItsHeadIsNotCountedAsLines(t *testing.T) {
	ingress := newIngress(berylintake.Limits{Bytes: 64 << 20})
	now := time.Now()
	hold := ingress.Open(now, func() {})
	require.True(t, hold.Read(now, []byte("POST /x HTTP/1.1\r\nHost: h\r\n\r\n"+strings.Repeat("\n", 3000))))
	require.True(t, hold.Handle(now, http.Header{"Host": {"h"}}, "organisation"))
	held, _ := ingress.used()
	require.Zero(t, held)
}

// Guards against sums that stay after their requests have ended, or their connections.
func TestNothingIsHeldAfterwards(t *testing.T) {
	ingress := newIngress(berylintake.Limits{Bytes: 64 << 20, Connections: 10})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{
		Handler: Handler(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
			var body BodyBytes
			hold := Of(request.Context())
			require.NoError(t, body.Fill(hold, request.Body, request.ContentLength))
			held, connections := ingress.used()
			require.GreaterOrEqual(t, held+berylintake.FreeBytes, body.Len())
			require.Equal(t, 1, connections)
			require.True(t, hold.Serve(time.Now()))
			hold.Deliver(time.Now())
		})),
		ConnContext: ConnContext, ConnState: ConnState,
	}
	defer func() { _ = server.Close() }()
	go func() { _ = server.Serve(ingress.Listen(listener)) }()
	client := &http.Client{Transport: berylresponse.Transport{Transport: new(http.Transport)}}
	for range 3 {
		response, err := client.Post("http://"+listener.Addr().String(), "text/plain", strings.NewReader(strings.Repeat("b", 1<<20)))
		require.NoError(t, err)
		_ = response.Body.Close()
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
	client.CloseIdleConnections()
	require.Eventually(t, func() bool {
		held, connections := ingress.used()
		return held == 0 && connections == 0
	}, 10*time.Second, 10*time.Millisecond)
}

// Guards against a head that is refused without a promise, or that keeps its connection.
func TestHeadWithoutRoomIsRefusedAsNotRun(t *testing.T) {
	ingress := newIngress(berylintake.Limits{Bytes: 64 << 10})
	hold := ingress.Open(time.Now(), func() {})
	request := httptest.NewRequest(http.MethodGet, "/x", nil)
	for range 1000 {
		request.Header.Add("Name", "value")
	}
	request = request.WithContext(ConnContext(request.Context(), &Conn{Hold: hold}))
	writer := httptest.NewRecorder()
	Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("the request is served") })).ServeHTTP(writer, request)
	require.Equal(t, http.StatusServiceUnavailable, writer.Code)
	require.Equal(t, "1", writer.Header().Get("Retry-After"))
	require.Equal(t, "close", writer.Header().Get("Connection"))
}
