//go:build !mutation

package lease

const mutation = noMutation
