package main

// This file defines the case of answers with neither a length nor chunks whose engine crashes while
// the link to it loses packets.

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"berylspoke/platform/beryldouble"
)

const (
	// lossShare is the share of packets that are lost. openDelay is when the first packet of a new
	// channel is sent again, dataDelay when one of an open channel is.
	lossShare = 0.3
	// lateShare is the share of channels of which the packet that opens them or the answer to it is lost.
	lateShare = 1 - (1-lossShare)*(1-lossShare)
	openDelay = time.Second
	dataDelay = 200 * time.Millisecond
	// lossTime is how long the link to an engine loses packets; the engine crashes lossLead after
	// its beginning and is back downFor later. lossGap is the time between two.
	lossTime   = 3 * time.Second
	lossLead   = 500 * time.Millisecond
	downFor    = 2 * time.Second
	lossGap    = 4 * time.Second
	lossRounds = 9
)

// lossyLink forwards channels to an engine; while it loses packets, it delays what would have to be
// sent again. The address of an engine that is down refuses channels.
type lossyLink struct {
	address, upstream string
	mutex             sync.Mutex
	listener          net.Listener
	loses             atomic.Bool
}

func newLossyLink(upstream string) (*lossyLink, error) {
	link := &lossyLink{address: "127.0.0.1:0", upstream: upstream}
	return link, link.listen()
}

// listen makes the link take channels.
func (link *lossyLink) listen() error {
	listener, err := net.Listen("tcp", link.address)
	if err != nil {
		return err
	}
	link.mutex.Lock()
	link.listener, link.address = listener, listener.Addr().String()
	link.mutex.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go link.forward(conn.(*net.TCPConn))
		}
	}()
	return nil
}

// refuse makes the link refuse channels, as the address of an engine does that is down.
func (link *lossyLink) refuse() {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	_ = link.listener.Close()
}

// lost reports whether the next packet is lost.
func (link *lossyLink) lost() bool { return link.loses.Load() && rand.Float64() < lossShare }

// forward forwards one channel.
func (link *lossyLink) forward(client *net.TCPConn) {
	opened := time.Now()
	if link.lost() {
		time.Sleep(openDelay)
	}
	server, err := net.Dial("tcp", link.upstream)
	if err != nil {
		// The engine is down and the link still listens: what opens the channel, or the refusal, is
		// lost and sent again.
		time.Sleep(time.Until(opened.Add(openDelay)))
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	var both sync.WaitGroup
	both.Add(2)
	go func() {
		defer both.Done()
		link.copy(server.(*net.TCPConn), client)
	}()
	go func() {
		defer both.Done()
		link.copy(client, server.(*net.TCPConn))
	}()
	both.Wait()
	_ = client.Close()
	_ = server.Close()
}

// copy forwards one direction with its end: a close as a close, a reset as a reset.
func (link *lossyLink) copy(to, from *net.TCPConn) {
	buffer := make([]byte, 32<<10)
	for {
		size, err := from.Read(buffer)
		if link.lost() {
			time.Sleep(dataDelay)
		}
		if size > 0 {
			if _, failed := to.Write(buffer[:size]); failed != nil {
				_ = from.SetLinger(0)
				_ = from.Close()
				return
			}
		}
		switch err {
		case nil:
		case io.EOF:
			_ = to.CloseWrite()
			return
		default:
			_ = to.SetLinger(0)
			_ = to.Close()
			return
		}
	}
}

// linkedEngine is an engine with the link to it.
type linkedEngine struct {
	target *beryldouble.Target
	link   *lossyLink
}

// addLinked adds an engine that answers with neither a length nor chunks behind a link.
func (world *world) addLinked(number int) (*linkedEngine, error) {
	engine := new(linkedEngine)
	var failed error
	target, err := world.addTarget(beryldouble.TargetOptions{
		ID: fmt.Sprintf("i-%d", number+1), Service: "models", FailureDomain: zones[number%len(zones)], Slots: 64, Version: "v1",
		Events: 25, ProcessingTime: 20 * time.Millisecond, EventInterval: 60 * time.Millisecond, Unframed: true,
		Advertise: func(address string) string {
			if engine.link == nil {
				engine.link, failed = newLossyLink(address)
			}
			if failed != nil {
				return address
			}
			return engine.link.address
		},
	})
	if err == nil {
		err = failed
	}
	engine.target = target
	return engine, err
}

// crashBehind makes the link to an engine lose packets, if it is to, and the engine crash and come
// back. The first channel that is tried after the crash is refused at once unless the packet that
// opens it or the refusal is lost; then that takes until it is sent again.
func (world *world) crashBehind(engine *linkedEngine, lossy bool) error {
	engine.link.loses.Store(lossy)
	time.Sleep(lossLead)
	options := engine.target.Options()
	late := lossy && rand.Float64() < lateShare
	world.note("%s crashes, lossy %v, refusal late %v", engine.target.Name(), lossy, late)
	if late {
		time.AfterFunc(openDelay, engine.link.refuse)
	} else {
		engine.link.refuse()
	}
	engine.target.Crash()
	time.Sleep(downFor)
	options.Boot++
	again, err := world.addTarget(options)
	if err != nil {
		return err
	}
	if err := engine.link.listen(); err != nil {
		return err
	}
	engine.target = again
	world.note("%s is up", again.Name())
	time.Sleep(lossTime - lossLead - downFor)
	engine.link.loses.Store(false)
	return nil
}

// playUnframed plays engines that crash while the links to them lose packets.
func playUnframed(world *world, trouble bool) (string, error) {
	if err := world.publishStreams(streamLimit); err != nil {
		return "", err
	}
	var engines []*linkedEngine
	for number := range 5 {
		engine, err := world.addLinked(number)
		if err != nil {
			return "", err
		}
		defer engine.link.refuse()
		engines = append(engines, engine)
	}
	if err := world.addDaemons(1, world.store.Address()); err != nil {
		return "", err
	}
	if err := world.startAll(); err != nil {
		return "", err
	}
	done := make(chan error, 1)
	go func() {
		time.Sleep(4 * time.Second)
		for range lossRounds {
			next := time.Now().Add(lossGap)
			if trouble {
				if err := world.crashBehind(world.busiest(engines), os.Getenv("LOSSY") != "0"); err != nil {
					done <- err
					return
				}
			}
			time.Sleep(time.Until(next))
		}
		done <- nil
	}()
	cut, err := world.streamToEnd(done)
	if err != nil {
		return "", err
	}
	if cut > 0 {
		return fmt.Sprintf("ORDER: %d streams ended as complete before their last event", cut), nil
	}
	return "", nil
}

// busiest returns the engine at which a stream began last.
func (world *world) busiest(engines []*linkedEngine) *linkedEngine {
	newest := world.newestRun().Target
	for _, engine := range engines {
		if engine.target.Name() == newest {
			return engine
		}
	}
	return engines[0]
}

// streamToEnd sends streams until there is a result and returns how many ended as complete though
// their last event had not come.
func (world *world) streamToEnd(done <-chan error) (int, error) {
	caller := world.caller(1, world.daemons...)
	var running sync.WaitGroup
	var cut atomic.Int64
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case err := <-done:
			running.Wait()
			return int(cut.Load()), err
		case <-ticker.C:
			running.Add(1)
			go func() {
				defer running.Done()
				address := caller.Pick(context.Background(), time.Now())
				if address == "" {
					return
				}
				result := world.send(caller, address, world.streamRequest("/draft/", 200))
				if result.Succeeded() && result.Sealed && !result.HasLastEvent() {
					world.note("%s ended as complete before its last event", result.Request.ID)
					cut.Add(1)
				}
			}()
		}
	}
}
