package settings

import (
	"crypto/ed25519"
	"math"
	"os"
	"time"

	"github.com/ansel1/merry/v2"

	"toucangap/internal/finding"
	"toucangap/internal/tomldoc"
)

// Defaults of optional keys.
const (
	defaultPrefix          = "/toucangap/"
	defaultPlatformTimeout = 2 * time.Second
	defaultFlows           = 400_000
)

// maxTrafficGoroutines bounds the setting of the number of traffic goroutines.
const maxTrafficGoroutines = 1024

// Load reads and validates the settings file. It returns all errors in the file
// together as a finding.List.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, merry.Prepend(err, "read settings")
	}
	s, findings := Parse(path, data)
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// Check returns all errors in the settings file. A file that cannot be read is
// reported as a finding.
func Check(path string) finding.List {
	data, err := os.ReadFile(path)
	if err != nil {
		return finding.List{{File: path, Problem: err.Error(), Allowed: "a readable file"}}
	}
	_, findings := Parse(path, data)
	return findings
}

// Parse reads and validates settings from the text of a file; the file name is
// used in findings. The settings are nil after a syntax error and otherwise hold
// zero values for missing and malformed keys.
func Parse(file string, data []byte) (*Settings, finding.List) {
	doc, findings := tomldoc.Parse(file, data)
	if doc == nil {
		return nil, findings
	}
	s := read(doc.Root())
	check(s, doc.Root())
	return s, doc.Findings()
}

// read converts the document. Missing required keys and malformed values become
// zero values and are recorded as findings of the document.
func read(root *tomldoc.Table) *Settings {
	root.Require("name", "domain", "group", "listen", "fabric", "bundle")
	s := &Settings{
		Name:     root.Text("name"),
		Domain:   root.Text("domain"),
		Group:    root.Text("group"),
		Listen:   readListen(root.Table("listen"), root.Has("listen")),
		Fabric:   readFabric(root.Table("fabric"), root.Has("fabric")),
		Peers:    root.Addresses("peers"),
		Platform: readPlatform(root.Table("platform")),
		Bundle:   readBundleTrust(root.Table("bundle"), root.Has("bundle")),
		TLS:      readTLS(root.Table("tls")),
		Limits:   readLimits(root.Table("limits")),
	}
	root.RejectUnknown()
	return s
}

func readListen(t *tomldoc.Table, present bool) Listen {
	if present {
		t.Require(listenKeys...)
	}
	l := Listen{
		Callers:   t.Address("callers"),
		Endpoints: t.Address("endpoints"),
		Packets:   t.Address("packets"),
		Probe:     t.Address("probe"),
		Control:   t.Address("control"),
		Admin:     t.Address("admin"),
	}
	t.RejectUnknown()
	return l
}

func readFabric(t *tomldoc.Table, present bool) Fabric {
	if present {
		t.Require("return")
	}
	f := Fabric{Return: t.Address("return")}
	t.RejectUnknown()
	return f
}

func readPlatform(t *tomldoc.Table) Platform {
	p := Platform{
		Addresses: t.Addresses("addresses"),
		Prefix:    t.TextOr("prefix", defaultPrefix),
		Timeout:   t.Duration("timeout", defaultPlatformTimeout),
	}
	t.RejectUnknown()
	return p
}

func readBundleTrust(t *tomldoc.Table, present bool) BundleTrust {
	if present {
		t.Require("operators", "required")
	}
	b := BundleTrust{
		Operators: readOperators(t.Table("operators")),
		Required:  int(t.IntegerIn("required", 0, 1, math.MaxInt32)),
		Initial:   t.Text("initial"),
	}
	t.RejectUnknown()
	return b
}

// readOperators reads the table that maps operators' names to ed25519 public keys
// in base64.
func readOperators(t *tomldoc.Table) map[string][]byte {
	operators := make(map[string][]byte)
	for _, name := range t.Keys() {
		operators[name] = t.Base64(name, ed25519.PublicKeySize)
	}
	return operators
}

func readTLS(t *tomldoc.Table) TLS {
	files := TLS{
		Authority:   t.Text("authority"),
		Certificate: t.Text("certificate"),
		Key:         t.Text("key"),
	}
	t.RejectUnknown()
	return files
}

func readLimits(t *tomldoc.Table) Limits {
	l := Limits{
		TrafficGoroutines: int(t.IntegerIn("traffic", 0, 0, maxTrafficGoroutines)),
		MaxFlows:          int(t.IntegerIn("flows", defaultFlows, 1, math.MaxInt32)),
	}
	t.RejectUnknown()
	return l
}
