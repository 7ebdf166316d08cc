package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"basildale.example/basildale/relayer"
)

type verifierCmd struct {
	stdin io.Reader // nil is the process's
}

// Help is the long help of the command.
func (verifierCmd) Help() string {
	return `Reads a password from the first line of the standard input and prints the
verifier that goes into a caller's document. The password is not an argument,
since arguments end up in lists of processes and in shells' histories.`
}

// Run prints the verifier of a password.
func (c *verifierCmd) Run(e *env) error {
	in := c.stdin
	if in == nil {
		in = os.Stdin
	}
	line, err := bufio.NewReader(in).ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		return errors.Wrap(err, "read the password")
	}
	password := strings.TrimRight(line, "\r\n")
	if password == "" {
		return fail(exitUsage, errors.New("the password is empty"))
	}
	v, err := relayer.NewVerifier(password)
	if err != nil {
		return err
	}
	fmt.Fprintln(e.out, v)
	return nil
}
