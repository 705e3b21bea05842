// Package docs holds the documentation of the project and the tests that keep
// it consistent with the code.
package docs
