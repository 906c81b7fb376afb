package root

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"toucangap/internal/command"
)

const (
	exampleBundle   = "../../../docs/examples/bundle.toml"
	exampleSettings = "../../../docs/examples/host.toml"
)

// exampleText returns an example file after the replacements.
func exampleText(t *testing.T, file string, replacements ...string) string {
	data, err := os.ReadFile(file)
	require.NoError(t, err)
	return strings.NewReplacer(replacements...).Replace(string(data))
}

// sign signs a bundle file as one operator.
func (s *session) sign(file, operator, out string) string {
	s.mustRun("bundle", "sign", file, "--operator", operator, "--signing-key", s.path(operator+".sign.key"), "--out", s.path(out))
	return s.path(out)
}

// operators creates two operators and a settings file that trusts them.
func (s *session) operators() string {
	s.mustRun("keys", "authority", "--dir", s.dir)
	text := exampleText(s.t, exampleSettings)
	for _, name := range []string{"anjali", "birgitta"} {
		out := s.mustRun("-o", "json", "keys", "operator", name, "--dir", s.dir)
		var generated struct{ Public string }
		require.NoError(s.t, json.Unmarshal([]byte(out), &generated), out)
		before, rest, found := strings.Cut(text, name+" = ")
		require.True(s.t, found)
		_, after, _ := strings.Cut(rest, "\n")
		text = before + name + ` = "` + generated.Public + "\"\n" + after
	}
	return s.write("host.toml", text)
}

// TestRollout signs and proposes two versions that replace the same one: the second
// to be accepted is a conflict, a repeated proposal or acceptance is not.
func TestRollout(t *testing.T) {
	s := newSession(t)
	trust := s.operators()
	first := s.sign(exampleBundle, "anjali", "first.signed")

	code, _, errOut := s.run("bundle", "propose", first, "--trust", trust)
	require.Equal(t, command.ExitFailure, code)
	require.Contains(t, errOut, "too few operators have signed the bundle: 1 of 2")
	first = s.sign(first, "birgitta", "first-2.signed")
	s.mustRun("bundle", "propose", first, "--trust", trust)
	s.mustRun("bundle", "propose", first, "--trust", trust)
	require.Equal(t, "version 7 is in force\n", s.mustRun("bundle", "accept", "7", "--replaces", "0"))
	require.Contains(t, s.mustRun("bundle", "current"), "signed by [\"anjali\" \"birgitta\"]")

	next := s.write("next.toml", exampleText(t, exampleBundle, "version = 7", "version = 8", "weight = 2", "weight = 3"))
	rival := s.write("rival.toml", exampleText(t, exampleBundle, "version = 7", "version = 9", `dial = "even"`, `dial = "steady"`))
	s.mustRun("bundle", "propose", s.sign(next, "anjali", "next.signed"))
	s.mustRun("bundle", "propose", s.sign(rival, "birgitta", "rival.signed"))
	s.mustRun("bundle", "accept", "8", "--replaces", "7", "--operation", "mine")
	s.mustRun("bundle", "accept", "8", "--replaces", "7", "--operation", "mine")
	code, _, errOut = s.run("bundle", "accept", "9", "--replaces", "7")
	require.Equal(t, command.ExitConflict, code)
	golden(t, "conflict", errOut)

	other := s.write("other.toml", exampleText(t, exampleBundle, "version = 7", "version = 9"))
	code, _, _ = s.run("bundle", "propose", s.sign(other, "anjali", "other.signed"))
	require.Equal(t, command.ExitConflict, code)
}

// TestAcceptValidatesChange: accept rejects a change that fails validation.
func TestAcceptValidatesChange(t *testing.T) {
	s := newSession(t)
	s.operators()
	s.mustRun("bundle", "propose", s.sign(exampleBundle, "anjali", "first.signed"))
	s.mustRun("bundle", "accept", "7", "--replaces", "0")
	next := s.write("next.toml", exampleText(t, exampleBundle, "version = 7", "version = 8", "hash_seed = 5", "hash_seed = 6"))
	s.mustRun("bundle", "propose", s.sign(next, "anjali", "next.signed"))
	code, _, errOut := s.run("bundle", "accept", "8", "--replaces", "7")
	require.Equal(t, command.ExitFindings, code)
	require.Contains(t, errOut, "hash_seed")
	require.Equal(t, uint64(7), s.store.current)
}

func TestBundleQueries(t *testing.T) {
	s := newSession(t)
	next := s.write("next.toml", exampleText(t, exampleBundle, "version = 7", "version = 8", "weight = 2", "weight = 3"))
	golden(t, "show", s.mustRun("bundle", "show", exampleBundle))
	golden(t, "show-json", s.mustRun("-o", "json", "bundle", "show", exampleBundle))
	golden(t, "diff", s.mustRun("bundle", "diff", exampleBundle, next))
	s.mustRun("bundle", "check", next, "--previous", exampleBundle)
	code, out, _ := s.run("--output", "json", "bundle", "check", exampleBundle, "--previous", next)
	require.Equal(t, command.ExitFindings, code)
	golden(t, "check-json", out)
	require.Equal(t, "no bundle is in force\n", s.mustRun("bundle", "current"))
	require.True(t, json.Valid([]byte(s.mustRun("-o", "json", "bundle", "current"))))
}

func TestExitCodes(t *testing.T) {
	s := newSession(t)
	bad := s.write("bad.toml", "name = 1\n")
	cases := []struct {
		line string
		code int
	}{
		{"settings check " + exampleSettings, command.ExitOK},
		{"settings check " + bad, command.ExitFindings},
		{"bundle check " + bad, command.ExitFindings},
		{"bundle show " + bad, command.ExitFindings},
		{"bundle show " + s.path("none"), command.ExitFailure},
		{"bundle accept 1 --replaces 0", command.ExitFailure},
		{"bundle accept one --replaces 0", command.ExitUsage},
		{"bundle accept 1", command.ExitUsage},
		{"bundle check", command.ExitUsage},
		{"bundle", command.ExitUsage},
		{"unknown", command.ExitUsage},
		{"status", command.ExitUsage},
		{"--host nowhere status", command.ExitUsage},
		{"--host 127.0.0.1:1 --ca x.pem status", command.ExitUsage},
		{"--output xml status", command.ExitUsage},
		{"status --unknown", command.ExitUsage},
		{"keys host help --address x --dir " + s.dir, command.ExitUsage},
		{"keys host help --address 127.0.0.1 --dir " + s.dir, command.ExitFailure},
		{"completion bash", command.ExitOK},
	}
	for _, c := range cases {
		code, _, errOut := s.run(strings.Fields(c.line)...)
		require.Equal(t, c.code, code, "%s\n%s", c.line, errOut)
	}
}
