// Package sched decides which waiting request of a group of backend servers
// runs next, and where.
package sched
