// Package lint contains source code checks that go vet and staticcheck do not provide. They run as tests.
package lint
