// Package cfcore is the root package of the scheduler. It defines the types that the
// other packages share, and the interfaces of external services and replaceable policies.
// Some of the implementations are in the packages below cfcore.
//
// An entry is a process that receives callers' requests. The planner is the entry that
// currently decides which task runs on which worker. A worker is a machine of the platform.
// An agent is the process on a worker's VM that makes the worker start and stop tasks as the
// planner has decided, and that forwards calls to the targets there. A target is a process on
// a VM that serves callers' requests.
package cfcore
