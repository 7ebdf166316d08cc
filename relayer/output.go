package relayer

import "basildale.example/basildale/framer"

// openOut takes working space for the answer.
func (s *Session) openOut() {
	if s.out == nil {
		s.out = s.relay.pool.get()[:0]
		s.tail = -1
	}
}

func (s *Session) restOut() {
	if s.out != nil && len(s.out) == 0 {
		s.relay.pool.put(s.out)
		s.out = nil
	}
}

// gather adds a frame of an answer; what may leave is written first when there
// is no room for the frame.
func (s *Session) gather(f framer.Frame) error {
	s.openOut()
	if len(s.out)+len(f.Raw) > bufferSize {
		if err := s.flushBeforeTail(); err != nil {
			return err
		}
	}
	switch f.Type {
	case 'C':
		s.tail = len(s.out)
	case 'S', 'N':
		// May stand between the end of the answer and ReadyForQuery.
	default:
		s.tail = -1
	}
	s.out = append(s.out, f.Raw...)
	return nil
}

// flushBeforeTail writes the answer up to its last CommandComplete, which may
// have to wait for a confirmation.
func (s *Session) flushBeforeTail() error {
	n := len(s.out)
	if s.tail >= 0 {
		n = s.tail
	}
	if n == 0 {
		return nil
	}
	_, err := s.caller.Write(s.out[:n])
	s.out = s.out[:copy(s.out, s.out[n:])]
	s.streamed = true
	if s.tail >= 0 {
		s.tail = 0
	}
	return err
}

// flush writes all that is gathered.
func (s *Session) flush() error {
	if len(s.out) == 0 {
		return nil
	}
	_, err := s.caller.Write(s.out)
	s.clearOut()
	return err
}

// clearOut drops what is gathered.
func (s *Session) clearOut() {
	s.out = s.out[:0]
	s.tail = -1
}

// stream passes one large frame on in pieces, so that it is never held whole.
func (s *Session) stream(size int) error {
	if err := s.flushBeforeTail(); err != nil {
		return err
	}
	if err := s.flush(); err != nil { // a tail that rows follow was no end
		return err
	}
	s.streamed = true
	for size > 0 {
		p, err := s.up.Chunk(size)
		if err != nil {
			s.cutOff = true
			return err
		}
		size -= len(p)
		if _, err := s.caller.Write(p); err != nil {
			return err
		}
	}
	return nil
}
