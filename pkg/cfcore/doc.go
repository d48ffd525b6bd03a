// Package cfcore is the root package of the scheduler. It defines the types that the
// other packages share, and the interfaces of external services and replaceable policies.
// Several implementations are in the packages below it.
package cfcore
