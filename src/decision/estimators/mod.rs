//! Rates, means and token buckets over given time, and the random numbers of a node.

mod decaying_mean;
mod decaying_rate;
mod random;
mod token_bucket;

pub(super) use decaying_mean::DecayingMean;
pub(super) use decaying_rate::DecayingRate;
pub(super) use random::RandomSource;
pub(super) use token_bucket::TokenBucket;

/// Microseconds in a second.
pub(super) const MICROS_PER_SECOND: f64 = 1e6;

// Old names, removed at the join.
pub(super) use random::{mix, uniform, GOLDEN};
pub(super) use token_bucket::Bucket;
pub(super) use DecayingMean as Tally;
pub(super) use DecayingRate as Rate;
