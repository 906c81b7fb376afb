package settings

import (
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const examplePath = "../../docs/examples/host.toml"

// example returns the example file after replacing pairs of old and new texts.
func example(t *testing.T, replacements ...string) []byte {
	data, err := os.ReadFile(examplePath)
	require.NoError(t, err)
	text := string(data)
	for i := 0; i < len(replacements); i += 2 {
		require.Contains(t, text, replacements[i])
		text = strings.Replace(text, replacements[i], replacements[i+1], 1)
	}
	return []byte(text)
}

func TestExampleLoads(t *testing.T) {
	require.Empty(t, Check(examplePath))
	require.True(t, CheckAndPrint(io.Discard, examplePath))
	s, err := Load(examplePath)
	require.NoError(t, err)
	require.Equal(t, "port-louis-1", s.Name)
	require.Len(t, s.Peers, 3)
	require.Len(t, s.Bundle.Operators["claes"], 32)
	require.True(t, s.TLS.Enabled())
}

// TestAllFindingsReported checks that all errors are reported at once, each with
// its line.
func TestAllFindingsReported(t *testing.T) {
	data := example(t,
		`prefix = "/toucangap/"`, `prefiks = "/toucangap/"`,
		`"192.0.2.12:7004"`, `"192.0.2.12"`,
		`probe = "192.0.2.11:7004"`, `probe = "192.0.2.11:7003"`,
		`required = 2`, `required = 4`,
		`traffic = 0 `, `traffic = "many" `,
	)
	_, findings := Parse("host.toml", data)
	var got []string
	for _, f := range findings {
		got = append(got, f.String())
	}
	require.Equal(t, []string{
		`host.toml:11: peers[0]: "192.0.2.12" is not an address with port (allowed: an address with port, such as "192.0.2.1:5683" or "[2001:db8::1]:5683")`,
		"host.toml:17: listen.probe: udp 192.0.2.11:7003 is already used by listen.packets (allowed: a unique address)",
		"host.toml:26: platform.prefiks: unknown key (allowed: addresses, prefix, timeout)",
		"host.toml:31: bundle.required: 4 signatures are required from 3 operators (allowed: 1 to 3)",
		"host.toml:47: limits.traffic: is a string (allowed: an integer)",
	}, got)
}

func TestSingleFindings(t *testing.T) {
	cases := []struct {
		name     string
		from, to string
		line     int
		key      string
	}{
		{"syntax", `[fabric]`, `[fabric`, 21, "listen"},
		{"missing group", `group = `, `# group = `, 0, "group"},
		{"own address as peer", `"192.0.2.13:7004"`, `"192.0.2.11:7004"`, 11, "peers[1]"},
		{"peer twice", `"192.0.2.13:7004"`, `"192.0.2.12:7004"`, 11, "peers[1]"},
		{"half of the TLS files", "key = \"/etc", "# key = \"/etc", 41, "tls.key"},
		{"listeners overlap", `"192.0.2.11:7002"`, `"0.0.0.0:7001"`, 15, "listen.endpoints"},
		{"short public key", `claes = "/FHNjmIYoaONpH7`, `claes = "`, 38, "bundle.operators.claes"},
		{"missing address", `packets = `, `# packets = `, 13, "listen.packets"},
		{"missing port", `return = "192.0.2.1:7000"`, `return = "192.0.2.1:0"`, 22, "fabric.return"},
		{"timeout", `timeout = "2s"`, `timeout = "0s"`, 27, "platform.timeout"},
		{"unknown key in a table", `prefix = `, `Prefix = `, 26, "platform.Prefix"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, findings := Parse("host.toml", example(t, c.from, c.to))
			require.Len(t, findings, 1, "%v", findings)
			require.Equal(t, c.line, findings[0].Line, "%v", findings)
			require.Equal(t, c.key, findings[0].Key)
		})
	}
}

// TestPlainTextBeyondLoopback checks that both TCP listeners need a loopback
// address if no TLS files are set.
func TestPlainTextBeyondLoopback(t *testing.T) {
	text := string(example(t))
	text, _, _ = strings.Cut(text, "# Without these")
	_, findings := Parse("host.toml", []byte(text))
	require.Len(t, findings, 2)
	require.Equal(t, "listen.control", findings[0].Key)
	require.Equal(t, "listen.admin", findings[1].Key)
	local := strings.ReplaceAll(text, "192.0.2.11", "127.0.0.1")
	_, findings = Parse("host.toml", []byte(local))
	require.Empty(t, findings)
}

func TestUnreadableFile(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "none.toml")
	require.Len(t, Check(missing), 1)
	require.False(t, CheckAndPrint(io.Discard, missing))
	_, err := Load(missing)
	require.Error(t, err)
}
