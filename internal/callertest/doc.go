// Package callertest holds tests that start lygate and lyrouter as processes and
// confront them with many callers that use up memory and descriptors. The tests have
// the build tag callers, since they must not run beside other load; make test-callers
// runs them.
package callertest
