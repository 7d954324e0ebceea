// Package wire holds the generated Protocol Buffers messages and DRPC service for exchanges between entry instances.
package wire
