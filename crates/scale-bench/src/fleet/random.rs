//! Random draws that several parts of the simulated world share.

use edge_node::decision::Micros;
use rand::rngs::StdRng;
use rand::Rng;

/// The time to the next event of a Poisson process with `rate` events a second, in microseconds.
pub fn poisson_gap(random: &mut StdRng, rate: f64) -> Micros {
    (exponential(random) / rate * 1e6).min(1e15) as Micros
}

/// A number from the exponential distribution with mean 1.
pub fn exponential(random: &mut StdRng) -> f64 {
    -(1.0 - random.random::<f64>()).ln()
}

/// The index of one of the `shares`, each drawn as often as its value says; `None` if rounding leaves a rest.
pub fn pick_by_share(random: &mut StdRng, mut shares: impl Iterator<Item = f64>) -> Option<usize> {
    let mut remaining = random.random::<f64>();
    shares.position(|share| {
        remaining -= share;
        remaining < 0.0
    })
}
