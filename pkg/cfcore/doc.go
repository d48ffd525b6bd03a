// Package cfcore is the root package of the scheduler: the types that every
// other package shares and the interfaces of all behaviour that varies. The
// implementations are in the packages below it.
package cfcore
