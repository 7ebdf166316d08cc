package relayer

import (
	"crypto/rand"
	"encoding/base64"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/xdg-go/scram"
)

// Verifier checks a caller's password by SCRAM-SHA-256 without knowing it. The
// zero value lets anybody in.
type Verifier struct {
	Iterations int
	Salt       []byte
	StoredKey  []byte
	ServerKey  []byte
}

const (
	verifierScheme    = "SCRAM-SHA-256"
	defaultIterations = 4096
	saltSize          = 16
	keySize           = 32
)

// ErrVerifier reports a text that is no verifier. It never carries the text,
// which may be a password put in the wrong place.
var ErrVerifier = errors.New("relayer: not a verifier: want SCRAM-SHA-256$ITERATIONS:SALT$STOREDKEY:SERVERKEY")

// NewVerifier makes the verifier of a password with a salt of its own.
func NewVerifier(password string) (Verifier, error) {
	salt := make([]byte, saltSize)
	_, _ = rand.Read(salt)
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		return Verifier{}, errors.Wrap(err, "relayer: verifier")
	}
	c, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: defaultIterations})
	if err != nil {
		return Verifier{}, errors.Wrap(err, "relayer: verifier")
	}
	return Verifier{Iterations: defaultIterations, Salt: salt, StoredKey: c.StoredKey, ServerKey: c.ServerKey}, nil
}

// ParseVerifier reads a verifier in the form in which PostgreSQL keeps it.
func ParseVerifier(text string) (Verifier, error) {
	scheme, rest, _ := strings.Cut(text, "$")
	factors, keys, ok := strings.Cut(rest, "$")
	iterations, salt, _ := strings.Cut(factors, ":")
	stored, server, _ := strings.Cut(keys, ":")
	if !ok || scheme != verifierScheme {
		return Verifier{}, ErrVerifier
	}
	var v Verifier
	var errs [4]error
	v.Iterations, errs[0] = strconv.Atoi(iterations)
	v.Salt, errs[1] = base64.StdEncoding.DecodeString(salt)
	v.StoredKey, errs[2] = base64.StdEncoding.DecodeString(stored)
	v.ServerKey, errs[3] = base64.StdEncoding.DecodeString(server)
	if errors.Join(errs[:]...) != nil || v.Iterations < 1 || len(v.Salt) == 0 ||
		len(v.StoredKey) != keySize || len(v.ServerKey) != keySize {
		return Verifier{}, ErrVerifier
	}
	return v, nil
}

// String returns the form that ParseVerifier reads.
func (v Verifier) String() string {
	b64 := base64.StdEncoding.EncodeToString
	return verifierScheme + "$" + strconv.Itoa(v.Iterations) + ":" + b64(v.Salt) +
		"$" + b64(v.StoredKey) + ":" + b64(v.ServerKey)
}

func (v Verifier) open() bool { return v.Iterations == 0 }

func (v Verifier) credentials(string) (scram.StoredCredentials, error) {
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(v.Salt), Iters: v.Iterations},
		StoredKey:  v.StoredKey,
		ServerKey:  v.ServerKey,
	}, nil
}
