//! Independent streams of random numbers, one for each purpose: draws from one stream do not affect another.

use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Purpose of a stream of random numbers.
#[derive(Clone, Copy, Debug)]
pub enum Stream {
    /// Arrivals of calls, with their classes, tenants, work and selection of proxies.
    Arrivals,
    /// Retries of clients: backoff and selection of proxies.
    Clients,
    /// Jitter of network latencies.
    Network,
    /// Types and speeds of the machines, traffic of the proxies.
    Topology,
    /// Selection of the machines that an event of the timeline affects.
    Faults,
    /// Seeds of the proxies, and the age of their watches at the start.
    Proxies,
}

/// Increment of the SplitMix64 sequence (Steele, Lea and Flood, "Fast splittable pseudorandom number
/// generators").
const GOLDEN_GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;

/// Returns the random number generator of a stream. `index` tells several generators of the same purpose apart.
#[must_use]
pub fn stream(seed: u64, stream: Stream, index: u64) -> SmallRng {
    let mixed_seed = mix(seed.wrapping_add(GOLDEN_GAMMA));
    let mixed_stream = mix(stream as u64 + 1);
    let mixed_index = mix(!index);
    SmallRng::seed_from_u64(mix(mixed_seed ^ mixed_stream ^ mixed_index))
}

/// Applies the finalizer of SplitMix64.
fn mix(value: u64) -> u64 {
    let first = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let second = (first ^ (first >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    second ^ (second >> 31)
}
