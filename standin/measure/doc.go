// Package measure runs a table of scenarios in the lab with fixed seeds, for
// the sites of both users and with simpler baselines. It compares the results
// with the targets for broken flows, imbalance, control traffic, draining,
// truthful answers and goodput under overload.
package measure
