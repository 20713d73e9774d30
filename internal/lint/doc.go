// Package lint holds checks of the source that go vet and staticcheck do not make. They run as tests.
package lint
