package framer

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

func TestCutTable(t *testing.T) {
	for _, tt := range []struct {
		name  string
		buf   []byte
		limit int
		n     int
		bad   bool
		large bool
	}{
		{"empty", nil, 0, 0, false, false},
		{"half header", []byte{'Q', 0, 0}, 0, 0, false, false},
		{"half body", []byte{'Q', 0, 0, 0, 6, 'a'}, 0, 0, false, false},
		{"no body", []byte{'S', 0, 0, 0, 4}, 0, 5, false, false},
		{"one and more", []byte{'Q', 0, 0, 0, 5, 'a', 'Q'}, 0, 6, false, false},
		{"length below itself", []byte{'Q', 0, 0, 0, 3}, 0, 0, true, false},
		{"negative length", []byte{'Q', 0xff, 0xff, 0xff, 0xff}, 100, 0, true, true},
		{"at the limit", []byte{'Q', 0, 0, 0, 5, 'a'}, 6, 6, false, false},
		{"above the limit", []byte{'Q', 0, 0, 0, 6, 'a', 'b'}, 6, 0, true, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f, n, err := Cut(tt.buf, tt.limit)
			is.Equal(n, tt.n)
			var le *LengthError
			is.Equal(errors.As(err, &le), tt.bad)
			if tt.bad {
				is.Equal(le.TooLarge(), tt.large)
			}
			if n > 0 {
				is.Equal(f.Raw, tt.buf[:n])
			}
		})
	}
}

func TestCutStartupTable(t *testing.T) {
	for _, tt := range []struct {
		name string
		buf  []byte
		n    int
		bad  bool
	}{
		{"empty", nil, 0, false},
		{"half", []byte{0, 0, 0, 8, 4}, 0, false},
		{"TLS request", []byte{0, 0, 0, 8, 4, 210, 22, 47}, 8, false},
		{"too small", []byte{0, 0, 0, 7}, 0, true},
		{"too large", []byte{0, 1, 0, 0}, 0, true},
		{"another protocol", []byte("GET / HTTP/1.1\r\n"), 0, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, n, err := CutStartup(tt.buf)
			is.Equal(n, tt.n)
			is.Equal(err != nil, tt.bad)
		})
	}
}

func TestCutAllocatesNothing(t *testing.T) {
	is := is.New(t)
	buf := []byte{'Q', 0, 0, 0, 5, 'a', 'S', 0, 0, 0, 4}
	is.Equal(testing.AllocsPerRun(100, func() {
		_, n, _ := Cut(buf, 100)
		_, _, _ = Cut(buf[n:], 100)
	}), 0.0)
}

// FuzzCut checks on any input that frames stay inside the buffer and join up
// to it, and that nothing panics.
func FuzzCut(f *testing.F) {
	f.Add([]byte{'Q', 0, 0, 0, 5, 'a', 'S', 0, 0, 0, 4})
	f.Add([]byte{'Q', 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0, 0, 0, 8, 4, 210, 22, 47})
	f.Add([]byte{'X', 0, 0, 0, 4, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		const limit = 64
		rest, joined := data, []byte{}
		for {
			frame, n, err := Cut(rest, limit)
			if err != nil || n == 0 {
				break
			}
			if n > limit || n != len(frame.Raw) {
				t.Fatalf("frame of %d bytes, cut %d", len(frame.Raw), n)
			}
			joined = append(joined, frame.Raw...)
			rest = rest[n:]
		}
		if string(joined) != string(data[:len(data)-len(rest)]) {
			t.Fatal("frames don't join up to the input")
		}
		if s, n, err := CutStartup(data); err == nil && n > 0 && len(s.Body) != n-StartupHeaderSize {
			t.Fatalf("startup body of %d bytes in a packet of %d", len(s.Body), n)
		}
	})
}
