// Package standin is the root of the simulators of external systems that are
// used in tests and demonstrations. It is not shipped.
//
// Package platform simulates the key-value service, package endpoint the
// endpoints, package fabric the network that distributes packets over the
// hosts, and package caller the callers. Package topology describes their
// placement and addresses, package inner defines the encapsulated packets and
// package exchange their payload.
package standin
