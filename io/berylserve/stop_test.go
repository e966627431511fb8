package berylserve

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"berylspoke"
	"berylspoke/core/berylconfig"
	"berylspoke/io/berylresponse"
	"berylspoke/io/berylsettings"
)

// slowListener accepts connections on which each write takes a while.
type slowListener struct {
	net.Listener
	delay time.Duration
}

func (listener slowListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return slowConn{conn, listener.delay}, nil
}

type slowConn struct {
	net.Conn
	delay time.Duration
}

func (conn slowConn) Write(data []byte) (int, error) {
	time.Sleep(conn.delay)
	return conn.Conn.Write(data)
}

// startSlow runs a daemon without peers that writes slowly to its callers.
func startSlow(t *testing.T, delay time.Duration) *Daemon {
	settings := berylsettings.Defaults()
	settings.VM = "vm-1"
	daemon := &Daemon{settings: &settings, log: zap.NewNop(), metrics: metrics.NewSet()}
	daemon.declarations.Store(new(berylconfig.Declarations))
	daemon.keys.Store(newKeyIndex(daemon.Declarations()))
	daemon.members.Store(newMemberIndex(&settings, nil, daemon.Declarations()))
	daemon.ctx, daemon.cancel = context.WithCancel(t.Context())
	daemon.startActor(time.Now(), berylspoke.NewIncarnation(time.Now().UnixMilli(), 1))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	settings.CallAddress = listener.Addr().String()
	daemon.callers = &http.Server{Handler: daemon.callerRoutes()}
	go func() { _ = daemon.callers.Serve(slowListener{listener, delay}) }()
	return daemon
}

// Guards against answers that are cut off as a drain ends: their handlers have returned, but they have not
// been sent yet.
func TestStopSendsAllAnswers(t *testing.T) {
	daemon := startSlow(t, 300*time.Millisecond)
	stopped := make(chan struct{})
	var calls sync.WaitGroup
	failures := make(chan error, 1000)
	client := &http.Client{Transport: berylresponse.Transport{Transport: new(http.Transport)}}
	begun := time.Now()
	go func() {
		daemon.Stop(t.Context())
		close(stopped)
	}()
	for time.Since(begun) < drainNoticePeriod-100*time.Millisecond {
		calls.Go(func() {
			response, err := client.Get("http://" + daemon.settings.CallAddress + "/v1/resolve")
			if err != nil {
				failures <- err
				return
			}
			_ = response.Body.Close()
		})
		time.Sleep(20 * time.Millisecond)
	}
	calls.Wait()
	<-stopped
	close(failures)
	for err := range failures {
		require.NoError(t, err)
	}
}
