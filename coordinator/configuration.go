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

// configure carries out a command of the relay of configurations.
func (c *Coordinator) configure(cmd configurator.Command) {
	switch cmd := cmd.(type) {
	case configurator.Watch:
		c.within(cmd.Until.Add(sendWithin), func(ctx context.Context) { c.watch(ctx, cmd) })
	case configurator.TellPeer:
		c.sendRelay(cmd.Peer, cmd.Message())
	case configurator.SendPeer:
		c.sendRelay(cmd.Peer, cmd.Message())
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
		items = append(items, configurator.Object{Name: o.Name, Version: o.Version, Value: o.Value, Deleted: o.Deleted})
	}
	answer := configurator.WatchAnswered{Seq: cmd.Seq, After: cmd.After, Items: items, More: page.More}
	c.Tell(controller.Configuration{Event: answer})
}

func (c *Coordinator) sendRelay(to netip.AddrPort, m configurator.Message) {
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
	var m configurator.Message
	if err := json.Unmarshal(req.Payload, &m); err != nil {
		return messenger.Got{}, errors.Mark(err, errPayload)
	}
	ev := m.Event(from.Addr)
	if ev == nil {
		return messenger.Got{}, errPayload
	}
	c.Tell(controller.Configuration{Event: ev})
	return messenger.Got{}, nil
}
