//! How often attempts fail, by kind of failure.

use std::collections::BTreeMap;

use crate::decision::estimators::DecayingMean;
use crate::decision::{Micros, Outcome};

/// Time constant of all shares of failures, in microseconds.
pub(super) const FAILURE_TIME_CONSTANT: f64 = 15.0e6;

/// A kind of failure that is tracked on its own. An endpoint may fail one kind of request and serve the
/// others, and is passed over for that kind alone (outlier detection by success rate).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum FailureKind {
    /// An error response or a rejection of a request of this class.
    Class(usize),
    /// An error response or a rejection of a request of this plan.
    Plan(usize),
    /// No response in time, whatever the class and plan. A success resets the consecutive ejections, and a
    /// node that meets an endpoint seldom would otherwise learn of each lost request anew.
    Unanswered,
}

/// The shares of attempts that failed, at one endpoint or over all.
#[derive(Default)]
pub(super) struct FailureShares {
    shares: BTreeMap<FailureKind, DecayingMean>,
}

impl FailureShares {
    /// The share of failures of a kind, 0 to 1, with `prior` as one sample of its own.
    pub fn share(&self, kind: FailureKind, prior: f64, now: Micros) -> f64 {
        self.shares.get(&kind).map_or(prior, |share| share.with_prior(now, prior, FAILURE_TIME_CONSTANT))
    }

    /// Records whether an attempt failed in one way.
    pub fn record(&mut self, sample: &FailureSample, now: Micros) {
        let failures = if sample.failed { 1.0 } else { 0.0 };
        self.shares.entry(sample.kind).or_default().record(now, failures, FAILURE_TIME_CONSTANT);
    }
}

/// What an ended attempt says about one kind of failure.
pub(super) struct FailureSample {
    pub kind: FailureKind,
    /// Whether it failed in this way.
    pub failed: bool,
}

/// What an ended attempt says about failures: after a success about all kinds, else about those that it met.
pub(super) fn failure_samples(
    class: usize,
    plan: usize,
    outcome: Outcome,
    unanswered: bool,
) -> impl Iterator<Item = FailureSample> {
    let succeeded = outcome == Outcome::Ok;
    let refused = matches!(outcome, Outcome::Error | Outcome::Rejected);
    let samples = [
        FailureSample { kind: FailureKind::Class(class), failed: refused },
        FailureSample { kind: FailureKind::Plan(plan), failed: refused },
        FailureSample { kind: FailureKind::Unanswered, failed: unanswered },
    ];
    samples.into_iter().filter(move |sample| sample.failed || succeeded)
}
