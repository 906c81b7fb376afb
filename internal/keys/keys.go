// Package keys generates the credentials of a test or small installation: a
// certificate authority, certificates for hosts and operators, and operators'
// keys for signing bundles.
package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"
)

// Role defines what the holder of a certificate may do. It is stored in the
// subject's organizational unit.
type Role string

// The roles.
const (
	// RoleHost may act as a host, both as server and as client.
	RoleHost Role = "host"
	// RoleOperator may connect to the admin listener.
	RoleOperator Role = "operator"
)

// PEM block types.
const (
	blockCertificate = "CERTIFICATE"
	blockKey         = "PRIVATE KEY"
)

// serialBits is the size of a random serial number in bits.
const serialBits = 127

// maxClockSkew is how far the clock of the side that verifies a certificate may be
// behind the authority's.
const maxClockSkew = 5 * time.Minute

// ErrPEM means that the data or a file lacks the expected PEM block.
var ErrPEM = merry.Sentinel("missing or malformed PEM block")

// Pair is a certificate with its private key (PKCS #8), both in PEM.
type Pair struct {
	Certificate []byte
	Key         []byte
}

// Authority issues certificates.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// CertificateRequest describes a certificate to issue.
type CertificateRequest struct {
	Name string
	Role Role
	// Addresses and Names are the IP addresses and DNS names of a host.
	Addresses []netip.Addr
	Names     []string
	// From and Until bound the validity. The certificate is already valid five
	// minutes (maxClockSkew) before From.
	From  time.Time
	Until time.Time
}

// NewAuthority generates an authority that is valid between the given times, and
// five minutes (maxClockSkew) earlier. It may not issue certificates of further
// authorities.
func NewAuthority(name string, from, until time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, merry.Prepend(err, "generate key")
	}
	template, err := newTemplate(pkix.Name{CommonName: name}, from, until)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, merry.Prepend(err, "create authority certificate")
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, merry.Prepend(err, "parse authority certificate")
	}
	return &Authority{certificate, key}, nil
}

// LoadAuthority decodes an authority from PEM. It fails with ErrPEM if a block
// is missing or has another type.
func LoadAuthority(pair Pair) (*Authority, error) {
	der, err := decodeBlock(pair.Certificate, blockCertificate)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, merry.Prepend(err, "parse authority certificate")
	}
	key, err := decodeKey[*ecdsa.PrivateKey](pair.Key)
	if err != nil {
		return nil, err
	}
	return &Authority{certificate, key}, nil
}

// PEM returns the authority's own certificate and key.
func (a *Authority) PEM() (Pair, error) {
	return encodePair(a.certificate.Raw, a.key)
}

// Issue generates an ECDSA P-256 key and issues a certificate for it.
func (a *Authority) Issue(r CertificateRequest) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, merry.Prepend(err, "generate key")
	}
	template, err := r.template()
	if err != nil {
		return Pair{}, err
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		return Pair{}, merry.Prepend(err, "create certificate")
	}
	return encodePair(der, key)
}

// template returns the unsigned certificate. Hosts connect to one another, so
// their certificates are valid for clients and servers.
func (r CertificateRequest) template() (*x509.Certificate, error) {
	subject := pkix.Name{CommonName: r.Name, OrganizationalUnit: []string{string(r.Role)}}
	template, err := newTemplate(subject, r.From, r.Until)
	if err != nil {
		return nil, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
	if r.Role == RoleHost {
		template.ExtKeyUsage = append(template.ExtKeyUsage, x509.ExtKeyUsageServerAuth)
	}
	template.DNSNames = r.Names
	for _, address := range r.Addresses {
		template.IPAddresses = append(template.IPAddresses, address.AsSlice())
	}
	return template, nil
}

// newTemplate returns a template with the fields that all certificates set.
func newTemplate(subject pkix.Name, from, until time.Time) (*x509.Certificate, error) {
	limit := new(big.Int).Lsh(big.NewInt(1), serialBits)
	serial, err := rand.Int(rand.Reader, limit)
	if err != nil {
		return nil, merry.Prepend(err, "generate serial number")
	}
	return &x509.Certificate{
		SerialNumber:          serial,
		Subject:               subject,
		NotBefore:             from.Add(-maxClockSkew),
		NotAfter:              until,
		BasicConstraintsValid: true,
	}, nil
}

// HasRole reports whether the certificate has one of the roles.
func HasRole(certificate *x509.Certificate, roles ...Role) bool {
	for _, unit := range certificate.Subject.OrganizationalUnit {
		for _, role := range roles {
			if unit == string(role) {
				return true
			}
		}
	}
	return false
}

// encodePair encodes a certificate and its key in PEM.
func encodePair(der []byte, key any) (Pair, error) {
	encoded, err := encodeKey(key)
	if err != nil {
		return Pair{}, err
	}
	certificate := pem.EncodeToMemory(&pem.Block{Type: blockCertificate, Bytes: der})
	return Pair{Certificate: certificate, Key: encoded}, nil
}

// encodeKey encodes a private key in PEM (PKCS #8).
func encodeKey(key any) ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, merry.Prepend(err, "encode key")
	}
	return pem.EncodeToMemory(&pem.Block{Type: blockKey, Bytes: der}), nil
}

// decodeKey decodes a private key of the given type from PEM.
func decodeKey[K any](data []byte) (K, error) {
	var none K
	der, err := decodeBlock(data, blockKey)
	if err != nil {
		return none, err
	}
	parsed, err := x509.ParsePKCS8PrivateKey(der)
	if err != nil {
		return none, merry.Prepend(err, "parse key")
	}
	key, ok := parsed.(K)
	if !ok {
		return none, merry.Errorf("key is a %T, expected %T", parsed, none)
	}
	return key, nil
}

// decodeBlock returns the content of the first PEM block, which must be of the
// given type.
func decodeBlock(data []byte, blockType string) ([]byte, error) {
	block, _ := pem.Decode(data)
	if block == nil || block.Type != blockType {
		return nil, merry.Appendf(ErrPEM, "expected %s", blockType)
	}
	return block.Bytes, nil
}
