//! Rates, means and token buckets whose callers supply the time, and the random number generator of a node.

mod decaying_mean;
mod decaying_rate;
mod random;
mod token_bucket;

pub(super) use decaying_mean::DecayingMean;
pub(super) use decaying_rate::DecayingRate;
pub(super) use random::{splitmix64_finalize, RandomSource, SPLITMIX64_INCREMENT};
pub(super) use token_bucket::TokenBucket;

/// Microseconds in a second.
pub(super) const MICROS_PER_SECOND: f64 = 1e6;
