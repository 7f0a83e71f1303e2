//! Random draws that several parts of the simulated world use.

use edge_node::decision::Micros;
use rand::rngs::StdRng;
use rand::Rng;

/// Draws the time to the next event of a Poisson process with `rate` events/s, in microseconds.
pub fn poisson_gap(random: &mut StdRng, rate: f64) -> Micros {
    (exponential(random) / rate * 1e6).min(1e15) as Micros
}

/// Draws a number from the exponential distribution with mean 1.
pub fn exponential(random: &mut StdRng) -> f64 {
    -(1.0 - random.random::<f64>()).ln()
}

/// Draws an index of `shares`, each with its value as the probability. The shares have to add up to 1.
///
/// Returns `None` if a rounding error leaves their sum at or below the random number that was drawn.
pub fn pick_by_share(random: &mut StdRng, mut shares: impl Iterator<Item = f64>) -> Option<usize> {
    let mut remaining = random.random::<f64>();
    shares.position(|share| {
        remaining -= share;
        remaining < 0.0
    })
}
