package main

import (
	"bufio"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"basildale.example/basildale/relayer"
)

type verifierCmd struct{}

// Help is the long help of the command.
func (verifierCmd) Help() string {
	return `Reads a caller's password as one line from standard input and prints the
SCRAM-SHA-256 verifier that settings and caller objects hold in its place. The
password can't be had back from it. A password on the command line would be seen
by everybody on the machine, so there is no such argument.`
}

// Run prints the verifier.
func (verifierCmd) Run(e *env) error {
	line, err := bufio.NewReader(e.in).ReadString('\n')
	password := strings.TrimRight(line, "\r\n")
	if password == "" {
		return fail(exitUsage, errors.CombineErrors(errors.New("no password on standard input"), err))
	}
	v, err := relayer.NewVerifier(password)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(e.out, v)
	return err
}
