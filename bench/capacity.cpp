/// What control costs a node, by size: docs/CAPACITY.md is worked out from these figures. The
/// benches are in bench/capacity, one file per subject. `--benchmark_repetitions=5` gives the
/// spread; the table of configuration views writes log lines to standard error.

#include <benchmark/benchmark.h>

BENCHMARK_MAIN();
