//! The shares of attempts that fail, by kind of failure.

use std::collections::BTreeMap;

use crate::decision::estimators::DecayingMean;
use crate::decision::{Micros, Outcome};

/// Time constant of all shares of failures and of resets, in microseconds.
pub(super) const FAILURE_TIME_CONSTANT: f64 = 15.0e6;

/// A kind of failure that is tracked separately. An endpoint may fail one kind of request and serve the
/// others; the cost of an attempt then rises for that kind alone (`cost`).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum FailureKind {
    /// An error response to, or a rejection of, a request of the class with this index.
    Class(usize),
    /// An error response to, or a rejection of, a request of the plan with this index.
    Plan(usize),
    /// No response within the latency bound, whatever the class and the plan. It is kept as a share because a
    /// success resets the count of ejections. With ejections alone, a node that seldom sends to an endpoint
    /// that drops some requests would treat each lost request as the first.
    Unanswered,
}

/// The shares of attempts that failed, at one endpoint or over the fleet.
#[derive(Default)]
pub(super) struct FailureShares {
    shares: BTreeMap<FailureKind, DecayingMean>,
}

impl FailureShares {
    /// Returns the share of failures of a kind, 0 to 1. `prior` counts as one further sample; without samples
    /// it is the share.
    pub fn share(&self, kind: FailureKind, prior: f64, now: Micros) -> f64 {
        self.shares.get(&kind).map_or(prior, |share| share.with_prior(now, prior, FAILURE_TIME_CONSTANT))
    }

    /// Records whether an attempt failed in one of the ways.
    pub fn record(&mut self, sample: &FailureSample, now: Micros) {
        let failures = if sample.failed { 1.0 } else { 0.0 };
        self.shares.entry(sample.kind).or_default().record(now, failures, FAILURE_TIME_CONSTANT);
    }
}

/// A sample of one kind of failure, from an ended attempt.
pub(super) struct FailureSample {
    pub kind: FailureKind,
    /// Whether the attempt failed in this way.
    pub failed: bool,
}

/// Returns the samples that an ended attempt gives: after a success one of each kind, else one of each kind
/// by which the attempt failed.
pub(super) fn failure_samples(
    class: usize,
    plan: usize,
    outcome: Outcome,
    unanswered: bool,
) -> impl Iterator<Item = FailureSample> {
    let succeeded = outcome == Outcome::Ok;
    let failed_with_response = matches!(outcome, Outcome::Error | Outcome::Rejected);
    let samples = [
        FailureSample { kind: FailureKind::Class(class), failed: failed_with_response },
        FailureSample { kind: FailureKind::Plan(plan), failed: failed_with_response },
        FailureSample { kind: FailureKind::Unanswered, failed: unanswered },
    ];
    samples.into_iter().filter(move |sample| sample.failed || succeeded)
}
