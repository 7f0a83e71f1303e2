//! One call to the counter service, and what its reply says.

use crate::decision::{Micros, Outcome};

/// How often a counter is read again after a reply that could not be read.
const MAX_REREADS: u32 = 1;

/// A call to the counter that is in flight or timed out. Its amounts are units of quota.
pub(super) struct CounterCall {
    /// Units to lease; negative for a release.
    pub lease_units: f64,
    /// Units added on top, which are not leased: what was admitted without the counter, sampled requests
    /// and the overflow correction.
    pub reported_units: f64,
    /// Part of `reported_units` for the requests that the call represents as a sample.
    pub sampled_units: f64,
    /// Part of `reported_units` that corrects overflow. It is reported once at most: the next total shows
    /// what is left to correct.
    pub overflow_units: f64,
    pub sent_at: Micros,
    /// How often its counter was read again.
    pub rereads: u32,
    /// Whether the call was added is not known, as its connection was reset.
    pub outcome_unknown: bool,
}

impl CounterCall {
    /// Whether the counter should be read once more: the total shows what the lost reply would have shown.
    pub fn needs_reread(&self, reply: CounterReply) -> bool {
        reply.is_inconclusive() && self.rereads < MAX_REREADS
    }

    /// The call as it goes on after a reply that could not be read.
    pub fn with_reread(self, reply: CounterReply, now: Micros) -> Self {
        CounterCall {
            sent_at: now,
            rereads: self.rereads + 1,
            outcome_unknown: reply == CounterReply::ConnectionReset,
            ..self
        }
    }
}

/// What became of a call.
#[derive(Clone, Copy, PartialEq)]
pub(in crate::decision) enum CounterReply {
    /// It was added, and this is the counter's total.
    Total(f64),
    /// It succeeded, but the total is not a finite number.
    InvalidTotal,
    /// It was not added.
    NotAdded,
    /// It was cancelled or never sent.
    NotSent,
    /// No reply in time. The service may add it yet, and the reply may still come.
    TimedOut,
    /// It was added, but the reply could not be read.
    Unreadable,
    /// The connection was reset. It may have been added, and the service is alive.
    ConnectionReset,
}

impl CounterReply {
    /// Classifies the end of a call; `total` is valid with `Ok`.
    pub fn classify(outcome: Outcome, total: f64) -> Self {
        match outcome {
            Outcome::Ok if total.is_finite() => CounterReply::Total(total),
            Outcome::Ok => CounterReply::InvalidTotal,
            Outcome::Rejected | Outcome::ConnectFailed => CounterReply::NotAdded,
            Outcome::Cancelled | Outcome::NotSent => CounterReply::NotSent,
            Outcome::TimedOut => CounterReply::TimedOut,
            Outcome::Error => CounterReply::Unreadable,
            Outcome::Reset => CounterReply::ConnectionReset,
        }
    }

    /// Whether the service replied with success.
    pub fn is_success(self) -> bool {
        matches!(self, CounterReply::Total(_) | CounterReply::InvalidTotal)
    }

    /// Whether the counter has to be read again to know the total.
    pub fn is_inconclusive(self) -> bool {
        matches!(self, CounterReply::Unreadable | CounterReply::ConnectionReset)
    }
}
