// Package baseline implements simpler load balancing policies as a baseline
// for measurements of the product: flow tables local to each host, stateless
// consistent hashing, and least load without shared records.
//
// The comparison favors the baselines: they learn of dead hosts and of
// operators' marks instantly and without control traffic.
package baseline
