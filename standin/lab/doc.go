// Package lab is a deterministic simulator: it runs several hosts' decision
// code over an in-memory network in virtual time. All random choices come from
// one seed, so that runs are reproducible. Endpoints and callers are modeled
// in enough detail to detect broken flows, imbalance, non-idempotent requests
// that ran twice and false refusals, which are reports that a request did not
// run although it did.
package lab
