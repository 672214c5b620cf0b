package main

import (
	"bytes"
	"net"
	"sync"
)

// partition cuts one machine of the system off from the control machines. Its connections
// are told by a text in its messages. What either side sends during the cut is held back
// and sent on afterwards, as a partition does.
type partition struct {
	text []byte // in messages of the machine that is cut off

	mu      sync.Mutex
	armed   bool
	began   bool
	trigger chan struct{} // closed when the message was forwarded that begins the cut
	healed  chan struct{} // closed when the cut is over
}

func newPartition(text string) *partition {
	return &partition{text: []byte(text), trigger: make(chan struct{}), healed: make(chan struct{})}
}

// arm has the cut begin after the next message of the machine, which still passes.
func (p *partition) arm() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.armed = true
}

// begin begins the cut.
func (p *partition) begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.began = true
}

func (p *partition) heal() { close(p.healed) }

// begins reports whether a message of the machine begins the cut.
func (p *partition) begins() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.armed || p.began {
		return false
	}
	p.began = true
	return true
}

// hold waits for the end of the cut if it has begun.
func (p *partition) hold() {
	p.mu.Lock()
	began := p.began
	p.mu.Unlock()
	if began {
		<-p.healed
	}
}

// proxy forwards the connections to one control process.
type proxy struct {
	listener   net.Listener
	target     string
	partitions []*partition
}

func newProxy(address, target string, parts []*partition) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	x := &proxy{l, target, parts}
	go x.accept()
	return x, nil
}

func (p *proxy) close() { _ = p.listener.Close() }

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(c)
	}
}

func (p *proxy) forward(c net.Conn) {
	t, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.Close()
		return
	}
	x := &connection{proxy: p}
	go x.copy(t, c, true)
	x.copy(c, t, false)
}

// connection is one connection through a proxy.
type connection struct {
	proxy *proxy

	mu  sync.Mutex
	cut *partition // of the machine whose connection it is; nil if it is none that is cut off
}

func (x *connection) copy(to, from net.Conn, fromClient bool) {
	defer func() { _ = to.Close() }()
	defer func() { _ = from.Close() }()
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			begins := fromClient && x.note(buf[:n])
			if p := x.partition(); p != nil && !begins {
				p.hold()
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
			if begins {
				close(x.partition().trigger)
			}
		}
		if err != nil {
			return
		}
	}
}

// note notes whose connection it is by a message. It reports whether the message begins the
// cut.
func (x *connection) note(message []byte) bool {
	for _, p := range x.proxy.partitions {
		if bytes.Contains(message, p.text) {
			x.mu.Lock()
			x.cut = p
			x.mu.Unlock()
			return p.begins()
		}
	}
	return false
}

func (x *connection) partition() *partition {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.cut
}
