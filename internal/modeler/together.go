package modeler

import (
	"bytes"
	"sync"
)

// Together runs parts of a comparison, which must share nothing that they change,
// at the same time, and returns what they write in the order of the parts.
func Together(parts ...func(*bytes.Buffer)) []byte {
	outs := make([]bytes.Buffer, len(parts))
	var group sync.WaitGroup
	for i, part := range parts {
		group.Go(func() { part(&outs[i]) })
	}
	group.Wait()
	var all []byte
	for i := range outs {
		all = append(all, outs[i].Bytes()...)
	}
	return all
}
