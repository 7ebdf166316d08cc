package keeper

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"basildale.example/basildale/splitter"
)

// maxReason bounds the text of an error of Decode, in characters.
const maxReason = 200

// Decode decodes the object's value as JSON. An error is short enough for a log line, though
// those of encoding/json quote the value.
func (o *Object) Decode(v any) error {
	if o.Unread != nil {
		return o.Unread
	}
	if err := json.Unmarshal(o.Value, v); err != nil {
		return errors.Newf("%.*s", maxReason, err.Error())
	}
	return nil
}

// read decodes an answer with one object.
func (o *Object) read(body []byte) (err error) {
	*o, err = decodeObject(body)
	return err
}

// decodeObject decodes an object of an answer. What can't be decoded of its value stays within
// the object, so that it costs no other one.
func decodeObject(body []byte) (Object, error) {
	var o Object
	err := splitter.Members(body, func(name, value []byte) error {
		switch string(name) {
		case "kind":
			return json.Unmarshal(value, &o.Kind)
		case "name":
			return json.Unmarshal(value, &o.Name)
		case "version":
			return json.Unmarshal(value, &o.Version)
		case "deleted":
			return json.Unmarshal(value, &o.Deleted)
		case "value":
			o.Value, o.Unread = nil, nil
			if err := splitter.Valid(value); err != nil {
				o.Unread = errors.Mark(err, ErrUnread)
				return nil
			}
			o.Value = bytes.Clone(value) // the body holds other objects too
		}
		return nil
	})
	return o, errors.Wrap(err, "keeper: object")
}

// read decodes an answer with a page.
func (p *Page) read(body []byte) (err error) {
	*p, err = decodePage(body)
	return err
}

// decodePage decodes the answer to a list or a watch.
func decodePage(body []byte) (Page, error) {
	var p Page
	err := splitter.Members(body, func(name, value []byte) error {
		switch string(name) {
		case "version":
			return json.Unmarshal(value, &p.Version)
		case "more":
			return json.Unmarshal(value, &p.More)
		case "items":
			return splitter.Elements(value, func(item []byte) error {
				o, err := decodeObject(item)
				p.Items = append(p.Items, o)
				return err
			})
		}
		return nil
	})
	return p, errors.Wrap(err, "keeper: page")
}

// decodeInstances decodes the list of instances.
func decodeInstances(body []byte) ([]Instance, error) {
	var list []Instance
	err := splitter.Members(body, func(name, value []byte) error {
		if string(name) != "items" {
			return nil
		}
		return splitter.Elements(value, func(line []byte) error {
			list = append(list, decodeInstance(line))
			return nil
		})
	})
	return list, errors.Wrap(err, "keeper: instances")
}

func decodeInstance(line []byte) Instance {
	var i Instance
	err := splitter.Valid(line)
	if err == nil {
		err = json.Unmarshal(line, &i)
	}
	if err == nil && i.Address.Port() == 0 {
		err = errors.New("no address")
	}
	if err == nil {
		return i
	}
	i = Instance{Unread: errors.Wrapf(ErrUnread, "%.*s", maxReason, err.Error())}
	// The name is for the log; a line without one has none there.
	_ = splitter.Members(line, func(name, value []byte) error {
		if string(name) == "name" {
			_ = json.Unmarshal(value, &i.Name)
		}
		return nil
	})
	return i
}
