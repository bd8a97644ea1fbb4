/// \file
/// The parts of the fleet's bench program.

#ifndef BALSAMLATCH_UTILITIES_FLEETBENCH_BENCH_H
#define BALSAMLATCH_UTILITIES_FLEETBENCH_BENCH_H

namespace balsamlatch::fleet::bench {

/// Moves, buffer and late prompt work of the move policy beside a threshold
/// policy, on a demand of bursts that take turns.
void runMoves();

/// Rounds of a wave by first fit and by load-balanced packing.
void runPacking();

} // namespace balsamlatch::fleet::bench

#endif // BALSAMLATCH_UTILITIES_FLEETBENCH_BENCH_H
