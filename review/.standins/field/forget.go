package main

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// deafFor is how long a replica receives nothing.
	deafFor = 6500 * time.Millisecond
	// deafBefore is how long it has received nothing when the other replica is lost.
	deafBefore = 500 * time.Millisecond
	// downFor is how long the proxies are down.
	downFor = 600 * time.Millisecond
	// settleFor is how long the case waits after the last step.
	settleFor = 12 * time.Second
	writers   = 6
)

// playForget has callers write while one replica receives nothing for a while, the other one is
// lost for good, and then all proxies are killed and start again. An acknowledged commit must be
// in the log of each backend that is promoted.
func playForget(p *play) (int, error) {
	var acknowledged atomic.Int64
	stop := make(chan struct{})
	var writing sync.WaitGroup
	for i := range writers {
		writing.Go(func() { p.write(i, stop, &acknowledged) })
	}
	time.Sleep(2 * time.Second)
	if p.trouble {
		if err := p.forget(); err != nil {
			close(stop)
			writing.Wait()
			return notRun, err
		}
	}
	time.Sleep(settleFor)
	close(stop)
	writing.Wait()
	lost := p.group.lostCommits()
	p.rec.line("writes acknowledged to callers %d", acknowledged.Load())
	for _, id := range lost {
		p.rec.line("BROKEN: the commit of %s was acknowledged and is not in the log of the backend that was promoted", id)
	}
	switch {
	case len(lost) > 0:
		return broken, nil
	case acknowledged.Load() == 0:
		return notRun, errors.New("nothing was written")
	}
	return held, nil
}

// write has one caller write seats until the case ends, at one proxy after the other when a
// session is lost.
func (p *play) write(i int, stop <-chan struct{}, acknowledged *atomic.Int64) {
	for n, session := 0, 0; ; session++ {
		to := p.fleet.processes[(i+session)%len(p.fleet.processes)]
		c, err := open(p.rec, fmt.Sprintf("kiosk-%d-%d", i, session), to, "pladser")
		for lost := err != nil; !lost; n++ {
			select {
			case <-stop:
				c.close()
				return
			case <-time.After(pace):
			}
			_, r := c.ask(fmt.Sprintf("WRITE seat-%d-%d sold", i, n))
			if r.ok() {
				acknowledged.Add(1)
			}
			lost = r.lost
		}
		if c != nil {
			c.close()
		}
		select {
		case <-stop:
			return
		case <-time.After(pace):
		}
	}
}

// forget plays the disruptions.
func (p *play) forget() error {
	deaf, gone := p.backends[1], p.backends[2]
	p.rec.line("%s receives nothing from now on", deaf.id)
	deaf.setDeaf(true)
	time.AfterFunc(deafFor, func() {
		deaf.setDeaf(false)
		p.rec.line("%s may receive again", deaf.id)
	})
	time.Sleep(deafBefore)
	p.rec.line("%s is lost for good", gone.id)
	gone.crash()
	for end := time.Now().Add(4 * beatInterval); p.store.has(gone.id); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			return errors.New("the entry of the lost replica stays")
		}
	}
	p.rec.line("the store has removed the entry of %s", gone.id)
	time.Sleep(200 * time.Millisecond) // the proxies have noticed
	p.rec.line("all proxies are killed")
	p.fleet.kill()
	time.Sleep(downFor)
	p.rec.line("all proxies start again")
	return p.fleet.start()
}
