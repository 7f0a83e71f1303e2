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
    /// No response in time, whatever the class and plan. A response resets the consecutive failures, and a
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

    /// Records whether an attempt failed in this way.
    pub fn record(&mut self, kind: FailureKind, failed: bool, now: Micros) {
        let sample = if failed { 1.0 } else { 0.0 };
        self.shares.entry(kind).or_default().record(now, sample, FAILURE_TIME_CONSTANT);
    }
}

/// The kinds that an ended attempt says something about, and whether it failed in that way: all kinds after a
/// success, else those in which it failed.
pub(super) fn failures_to_record(
    class: usize,
    plan: usize,
    outcome: Outcome,
    unanswered: bool,
) -> impl Iterator<Item = (FailureKind, bool)> {
    let succeeded = outcome == Outcome::Ok;
    let refused = matches!(outcome, Outcome::Error | Outcome::Rejected);
    let kinds = [
        (FailureKind::Class(class), refused),
        (FailureKind::Plan(plan), refused),
        (FailureKind::Unanswered, unanswered),
    ];
    kinds.into_iter().filter(move |&(_, failed)| failed || succeeded)
}
