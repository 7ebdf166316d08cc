package loader

import (
	"crypto/hmac"
	"crypto/pbkdf2"
	"crypto/sha256"
	"encoding/base64"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"basildale.example/basildale/examples"
	"basildale.example/basildale/internal/matcher"
)

// Symptom: a process starts with a limit it was never given, or an operator
// needs one start per mistake to get a file right.
// Sequence: a settings file with several mistakes is checked.
// Cause: a check that stops at the first mistake, or lets unknown keys pass.
func TestWrongSettingsAreAllNamed(t *testing.T) {
	files, err := filepath.Glob("testdata/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatal("no testdata", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			is := is.New(t)
			data, err := os.ReadFile(file)
			is.NoErr(err)
			_, problems := Check(filepath.Base(file), data, fakeFiles)
			var got strings.Builder
			for _, p := range problems {
				got.WriteString(p.String() + "\n")
			}
			matcher.Golden(t, strings.TrimSuffix(file, ".yaml")+".golden", got.String())
			is.True(len(problems) > 0) // every file in testdata is wrong
		})
	}
}

func fakeFiles(path string) ([]byte, error) {
	switch filepath.Base(path) {
	case "short.key":
		return []byte("too short"), nil
	case "text.pem":
		return []byte("no certificate in here"), nil
	default:
		return nil, errors.New("no such file")
	}
}

func TestSamplesAreRight(t *testing.T) {
	for _, tc := range []struct {
		name, zone  string
		groups      int
		connections int
		connect     string
	}{
		{"damplinjerne", "vejle-hal", 3, 35, "10ms"},
		{"quetzaltenango", "centro-civico", 3, 60, "30ms"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			s := sample(t, tc.name+".yaml")
			is.Equal(s.Zone, tc.zone)
			is.Equal(len(s.Platform), 2)
			is.Equal(s.Limits.Message, DefaultMessage)

			s = sample(t, tc.name+"-static.yaml")
			is.Equal(len(s.Groups), tc.groups)
			for _, g := range s.Groups {
				is.Equal(len(g.Upstreams), 3)
				for _, u := range g.Upstreams {
					is.Equal(u.Slots, 5)
					is.Equal(u.Connections, tc.connections)
					is.Equal(u.Connect.String(), tc.connect)
				}
			}
			for _, c := range s.Callers {
				is.True(fits(t, c.Verifier, "example")) // the page says so
			}
		})
	}
}

func sample(t *testing.T, name string) Settings {
	t.Helper()
	is := is.New(t)
	data, err := examples.Files.ReadFile(name)
	is.NoErr(err)
	s, problems := Check(name, data, nil)
	is.Equal(problems, nil)
	return s
}

// fits reports whether a verifier's server key is the one of password.
func fits(t *testing.T, verifier, password string) bool {
	t.Helper()
	is := is.New(t)
	parts := strings.Split(verifier, "$")
	_, salt, _ := strings.Cut(parts[1], ":")
	_, want, _ := strings.Cut(parts[2], ":")
	raw, err := base64.StdEncoding.DecodeString(salt)
	is.NoErr(err)
	salted, err := pbkdf2.Key(sha256.New, password, raw, 4096, sha256.Size)
	is.NoErr(err)
	mac := hmac.New(sha256.New, salted)
	mac.Write([]byte("Server Key"))
	return base64.StdEncoding.EncodeToString(mac.Sum(nil)) == want
}

func TestMissingFileIsAnError(t *testing.T) {
	is := is.New(t)
	_, _, err := Load("testdata/nowhere.yaml")
	is.True(errors.Is(err, os.ErrNotExist))
}

func TestSizesReadBackAsWritten(t *testing.T) {
	is := is.New(t)
	for _, s := range []string{"1", "16KiB", "16MiB", "1GiB"} {
		v, ok := parseSize(s)
		is.True(ok)
		is.Equal(formatSize(v), s)
	}
	for _, s := range []string{"", "-1", "1.5MiB", "4096GiB0", "99999999999GiB"} {
		_, ok := parseSize(s)
		is.True(!ok) // not a size
	}
}

// Symptom: an operator can't find out what a setting means.
// Sequence: the setting was added.
// Cause: the page for operators was forgotten.
func TestOperatorsPageNamesEverySetting(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	is.NoErr(err)
	_, problems := Check("x", []byte("?: 1\nlimits: {?: 1}\ntls: {?: 1}\nquota: {?: 1}\nload: {?: 1}"), nil)
	named := 0
	for _, p := range problems {
		prefix, found := strings.CutSuffix(p.Wrong, "? is not a setting")
		if !found {
			continue
		}
		for _, key := range strings.Split(strings.TrimPrefix(p.Allowed, "allowed are "), ", ") {
			if key == "limits" || key == "tls" || key == "quota" || key == "load" {
				continue // their own keys are looked for
			}
			named++
			is.True(strings.Contains(string(page), "`"+prefix+key+"`")) // the page names prefix and key
		}
	}
	is.True(named > 15) // the problems list the settings
}

// A choice that the settings leave open is the one that the platform's rules ask for, and one
// that they make goes first.
func TestChoicesOfTheSettingsGoFirst(t *testing.T) {
	is := is.New(t)
	data := "name: a\nzone: z\nworkspace: w\nwire: lines\nlisten: 10.0.0.1:1\npeers: 10.0.0.1:2\noperators: 10.0.0.1:3\nready: 10.0.0.1:4\n" +
		"orders: 10.0.0.2:1\ncarry: 10.0.0.1:2\nplatform: [10.0.0.2:2]\nrules: [base, pressure]\nload: {admission: plain, weights: {Alpha: 2.5}}\n"
	s, problems := Check("x", []byte(data), nil)
	is.Equal(problems, nil)
	is.Equal(s.Rules, []string{"base", "pressure"})
	got := s.Load.Or(Choices{Admission: Fair, Quota: Ranked})
	is.Equal(got.Admission, Plain)
	is.Equal(got.Quota, Ranked)
	is.Equal(got.Weight("Alpha"), 2.5)
	is.Equal(got.Weight("Beta"), 1.0)
}
