package berylresponse

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"berylspoke/io/berylstand"
)

// Guards against a connection that is taken for one of another protocol, which nobody has asked for.
func TestSwitchOfProtocolsIsNoResponse(t *testing.T) {
	target := &berylstand.HeadTarget{
		Head:   berylstand.Head{Head: "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n", Broken: true},
		Fields: func(*http.Request) string { return "" },
	}
	server := httptest.NewServer(target)
	defer server.Close()
	client := &http.Client{Transport: Transport{new(http.Transport)}}
	_, err := client.Get(server.URL)
	require.ErrorIs(t, err, ErrInvalidHead)
}
