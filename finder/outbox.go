package finder

import (
	"slices"

	"basildale.example/basildale/marker"
)

// outbox gathers messages by the proxy they go to.
type outbox struct {
	names []string
	lists [][]marker.Message
}

func (o *outbox) add(to string, msg marker.Message) {
	i := slices.Index(o.names, to)
	if i < 0 {
		i = len(o.names)
		o.names = append(o.names, to)
		o.lists = append(o.lists, nil)
	}
	o.lists[i] = append(o.lists[i], msg)
}

// flush sends what has gathered. A message that can't be encoded counts as lost;
// there is none among those of package marker.
func (f *Finder) flush(out *outbox) {
	for i, to := range out.names {
		if payload, err := marker.Encode(out.lists[i]); err == nil {
			f.Send(to, payload)
		}
	}
}
