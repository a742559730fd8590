package simulation

import (
	"time"
)

// instanceCounterConn is a door's connection to the keeper.
type instanceCounterConn struct {
	instance *simInstance
	conn     *netConn
	dialing  *dialing
	unsent   []byte
	done     bool
}

func (d *simInstance) dialCounter(addr string) {
	k := &instanceCounterConn{instance: d}
	d.counterConn = k
	life := d.incarnation
	k.dialing = d.sim.network.dial(d.host, addr, k, func(e *netConn, ok bool) {
		switch {
		case life != d.incarnation || k.done:
			if e != nil {
				e.close(true)
			}
		case !ok:
			k.fail()
		default:
			k.conn = e
			d.post(func() {
				if d.counterConn == k {
					d.core.CounterConnected(d.now())
				}
			})
		}
	})
	d.sim.scheduleAfter(time.Second, d.thisIncarnation(func() {
		if k.conn == nil && !k.done {
			k.dialing.ended = true
			k.fail()
		}
	}))
}

func (k *instanceCounterConn) fail() {
	if k.done {
		return
	}
	k.done = true
	if k.conn != nil {
		k.conn.close(true)
	}
	d := k.instance
	d.post(func() {
		if d.counterConn == k {
			d.counterConn = nil
			d.core.CounterDisconnected(d.now())
		}
	})
}

func (k *instanceCounterConn) write(b []byte) {
	if k.done || k.conn == nil {
		return
	}
	k.unsent = append(k.unsent, b...)
	k.writable(nil)
}

func (k *instanceCounterConn) abandon() {
	k.done = true
	if k.conn != nil {
		k.conn.close(true)
	} else {
		k.dialing.ended = true
	}
}

func (k *instanceCounterConn) writable(*netConn) {
	k.unsent = k.conn.writeBuffered(k.unsent, nil)
}

func (k *instanceCounterConn) readable(*netConn) {
	if k.done {
		return
	}
	b := k.conn.read()
	d := k.instance
	d.post(func() {
		if d.counterConn == k {
			d.core.CounterReceived(d.now(), b)
		}
	})
}

func (k *instanceCounterConn) closed(*netConn, bool) { k.fail() }
