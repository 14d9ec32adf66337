/// Benchmarks of a node's control plane by deployment size; docs/CAPACITY.md is derived from their
/// results. The benchmarks are in bench/capacity, one file per subject. Run with
/// `--benchmark_repetitions=5` to get the standard deviation. The table of configuration views
/// writes log lines to standard error.

#include <benchmark/benchmark.h>

BENCHMARK_MAIN();
