package coordinator

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"basildale.example/basildale/adapter/messenger"
	"basildale.example/basildale/configurator"
	"basildale.example/basildale/controller"
)

// errPayload is a message about configuration that can't be read.
var errPayload = errors.New("coordinator: not a message about configuration")

// relayMessage is what one relay of configurations says to another. One of its
// fields is set.
type relayMessage struct {
	Tell  *configurator.Tell  `json:"tell,omitempty"`
	Delta *configurator.Delta `json:"delta,omitempty"`
}

// configure carries out a command of the relay of configurations.
func (c *Coordinator) configure(cmd configurator.Command) {
	switch cmd := cmd.(type) {
	case configurator.Watch:
		c.within(cmd.Until.Add(sendWithin), func(ctx context.Context) { c.watch(ctx, cmd) })
	case configurator.TellPeer:
		c.sendRelay(cmd.Peer, relayMessage{Tell: &cmd.Tell})
	case configurator.SendPeer:
		c.sendRelay(cmd.Peer, relayMessage{Delta: &cmd.Delta})
	}
}

func (c *Coordinator) watch(ctx context.Context, cmd configurator.Watch) {
	page, err := c.Platform.Watch(ctx, configurator.StoreKind, cmd.After, max(0, time.Until(cmd.Until)))
	if err != nil {
		c.Tell(controller.Configuration{Event: configurator.WatchFailed{Seq: cmd.Seq}})
		return
	}
	items := make([]configurator.Object, 0, len(page.Items))
	for _, o := range page.Items {
		items = append(items, configurator.Object{Name: o.Name, Version: o.Version, Value: o.Value})
	}
	c.Tell(controller.Configuration{Event: configurator.WatchAnswered{Seq: cmd.Seq, After: cmd.After, Items: items}})
}

func (c *Coordinator) sendRelay(to netip.AddrPort, m relayMessage) {
	c.send(to, func(ctx context.Context, peers *messenger.Messenger) error {
		payload, err := json.Marshal(m)
		if err != nil {
			return errors.Wrap(err, "coordinator: encode")
		}
		_, err = peers.Have(ctx, to, messenger.Have{Payload: payload})
		return err
	})
}

// have takes a peer's message about configuration.
func (c *Coordinator) have(_ context.Context, from messenger.Peer, req messenger.Have) (messenger.Got, error) {
	var m relayMessage
	if err := json.Unmarshal(req.Payload, &m); err != nil {
		return messenger.Got{}, errors.Mark(err, errPayload)
	}
	switch {
	case m.Tell != nil:
		c.Tell(controller.Configuration{Event: configurator.PeerTold{Peer: from.Addr, Tell: *m.Tell}})
	case m.Delta != nil:
		c.Tell(controller.Configuration{Event: configurator.PeerSent{Peer: from.Addr, Delta: *m.Delta}})
	default:
		return messenger.Got{}, errPayload
	}
	return messenger.Got{}, nil
}
