// Package spec holds Promela models: request.pml of the request protocol, and head.pml of the replacement of the
// bundle head and of a domain's view. Its tests check them with the model checker Spin.
package spec
