// Package capacity benchmarks the resource usage of the system's programs at
// several sizes. docs/CAPACITY.md extrapolates from the results. The benchmarks
// are named Name/dimension=size, the format that marigold-load slopes reads.
package capacity
