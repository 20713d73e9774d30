//go:build !planted

package lease

// plant is a mistake that a build for tests makes; this one makes none.
const mutation = noMutation
