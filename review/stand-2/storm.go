package main

// This file defines the case of daemons that cannot read the configurations that they missed.

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"berylspoke/platform/beryldouble"
)

const (
	// tenantCount makes a configuration that is just below the store's limit of 1,048,576 bytes for a
	// value.
	tenantCount = 16_500
	// slowTime is how long the store's answers take slowBy longer.
	slowTime = 4700 * time.Millisecond
	slowBy   = 252 * time.Millisecond
	// The configurations begin stormAfter after that and are stormGap apart.
	stormAfter   = 500 * time.Millisecond
	stormGap     = 80 * time.Millisecond
	stormChanges = 25
	// historyTime is the store's history, after which it would answer 410.
	historyTime = 20 * time.Second
	// revokedKey is held by a tenant until the last of the configurations.
	revokedKey = "key-revoked"
	// maxConfigTime is configMs with the most that an unstable store stretches it by.
	maxConfigTime = 9 * time.Second
	// touchWindow is stableWindowMs.
	touchWindow = 4 * time.Second
	// slowChunk is the size of what a slow link forwards at a time.
	slowChunk = 32 << 10
)

// slowLink forwards channels to the store; while it is slow, what the daemon asks arrives later.
type slowLink struct {
	listener net.Listener
	upstream string
	slow     *atomic.Bool
}

func newSlowLink(upstream string, slow *atomic.Bool) (*slowLink, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	link := &slowLink{listener: listener, upstream: upstream, slow: slow}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go link.forward(conn)
		}
	}()
	return link, nil
}

// forward forwards one channel until one of its ends closes it.
func (link *slowLink) forward(client net.Conn) {
	defer func() { _ = client.Close() }()
	server, err := net.Dial("tcp", link.upstream)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	go func() {
		_, _ = io.Copy(client, server)
		_ = client.Close()
	}()
	buffer := make([]byte, slowChunk)
	for {
		size, err := client.Read(buffer)
		if link.slow.Load() {
			time.Sleep(slowBy)
		}
		if _, failed := server.Write(buffer[:size]); failed != nil || err != nil {
			return
		}
	}
}

// publishLarge publishes a configuration with many tenants.
func (world *world) publishLarge(version int, withKey bool) error {
	configuration := beryldouble.Configuration{
		Version: version, Host: host, TokensPerSecond: 400_000,
		Services: []beryldouble.Service{{Name: "models", Slots: 64, CacheCapacity: 400_000, EventTokens: 8}},
		Routes: []beryldouble.Route{{
			Name: "draft", Prefix: "/draft/", Kind: "streaming", Service: "models", TimeoutMillis: 10_000 - version,
			FirstByteObjectiveMillis: 800, MaxAttempts: 1,
		}},
		Organisations: []beryldouble.Organisation{{Name: organisation, Keys: []string{apiKey}}},
	}
	for number := range tenantCount {
		configuration.Organisations = append(configuration.Organisations, beryldouble.Organisation{
			Name: fmt.Sprintf("tenant-%05d", number), Keys: []string{fmt.Sprintf("key-%020d", number)},
		})
	}
	if withKey {
		configuration.Organisations = append(configuration.Organisations, beryldouble.Organisation{Name: "leaving", Keys: []string{revokedKey}})
	}
	if err := configuration.Publish(world.store); err != nil {
		return err
	}
	world.note("configuration %d with %d tenants is confirmed, key %v", version, len(configuration.Organisations), withKey)
	return nil
}

// playStorm plays a fleet for which the store is slow for some seconds, in which configurations come
// in quick succession. Without trouble the store is not slow.
func playStorm(world *world, trouble bool) (string, error) {
	if err := world.publishLarge(1, true); err != nil {
		return "", err
	}
	if _, err := world.addTarget(beryldouble.TargetOptions{
		ID: "i-1", Service: "models", FailureDomain: zones[0], Slots: 64, Version: "v1",
		Events: 3, ProcessingTime: 20 * time.Millisecond, EventInterval: 10 * time.Millisecond,
	}); err != nil {
		return "", err
	}
	var slow atomic.Bool
	link, err := newSlowLink(world.store.Address(), &slow)
	if err != nil {
		return "", err
	}
	defer func() { _ = link.listener.Close() }()
	if err := world.addDaemons(3, link.listener.Addr().String()); err != nil {
		return "", err
	}
	if err := world.startAll(); err != nil {
		return "", err
	}
	time.Sleep(5 * time.Second)
	begun := time.Now()
	slow.Store(trouble)
	world.note("the store is slow: %v", trouble)
	time.Sleep(stormAfter)
	first := time.Now()
	for change := range stormChanges {
		if err := world.publishLarge(2+change, change < stormChanges-1); err != nil {
			return "", err
		}
		time.Sleep(time.Until(first.Add(time.Duration(change+1) * stormGap)))
	}
	confirmed := time.Now()
	time.Sleep(time.Until(begun.Add(slowTime)))
	slow.Store(false)
	world.note("the store is not slow")
	return world.judgeStorm(first, confirmed, time.Now())
}

// judgeStorm sends requests with the dropped key to all daemons for as long as the store has its
// history.
func (world *world) judgeStorm(first, confirmed, calm time.Time) (string, error) {
	caller := world.caller(1, world.daemons...)
	late, refused, stale := 0, 0, make(map[string]bool)
	for time.Since(first) < historyTime-500*time.Millisecond {
		for _, daemon := range world.daemons {
			request := world.streamRequest("/draft/", 40)
			request.APIKey = revokedKey
			sent := time.Now()
			result := world.send(caller, daemon.vm.CallersAddress(), request)
			judged := sent.Sub(confirmed) > maxConfigTime && sent.Sub(calm) > touchWindow
			switch {
			case judged && world.hasRun(request.ID):
				late++
				stale[daemon.vm.Name] = true
			case judged && result.Status == 401:
				refused++
			}
		}
		time.Sleep(250 * time.Millisecond)
	}
	world.note("%d requests with the dropped key ran at %d daemons, %d were refused", late, len(stale), refused)
	if late > 0 {
		return fmt.Sprintf("CONFIG: %d requests with a dropped key ran at %d of %d daemons, sent over %v after the confirmation and over %v after the store was calm",
			late, len(stale), len(world.daemons), maxConfigTime, touchWindow), nil
	}
	if refused == 0 {
		return "", fmt.Errorf("no request was judged")
	}
	return "", nil
}
