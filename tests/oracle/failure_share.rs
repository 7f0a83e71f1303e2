//! Shares of failures in which earlier samples decay exponentially.

use edge_node::decision::Micros;

/// Time constant of the decay, in microseconds.
const TIME_CONSTANT: f64 = 15e6;

/// A sum that decays by a factor of e in each time constant.
#[derive(Clone, Copy, Default)]
struct DecayingSum {
    sum: f64,
    at: Micros,
}

impl DecayingSum {
    fn value(self, now: Micros) -> f64 {
        self.sum * (-((now - self.at) as f64) / TIME_CONSTANT).exp()
    }

    fn add(&mut self, now: Micros, amount: f64) {
        self.sum = self.value(now) + amount;
        self.at = now;
    }
}

/// A share of failures, in which the prior weighs as much as one sample.
#[derive(Clone, Copy, Default)]
pub struct FailureShare {
    samples: DecayingSum,
    failures: DecayingSum,
}

impl FailureShare {
    pub fn record(&mut self, now: Micros, failed: bool) {
        self.samples.add(now, 1.0);
        self.failures.add(now, if failed { 1.0 } else { 0.0 });
    }

    pub fn value(&self, now: Micros, prior: f64) -> f64 {
        (self.failures.value(now) + prior) / (self.samples.value(now) + 1.0)
    }
}
