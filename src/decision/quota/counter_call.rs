//! A single call to the counter service, and what its reply says.

use crate::decision::{Micros, Outcome};

/// Maximum number of times that a counter is read again after replies that could not be read.
const MAX_REREADS: u32 = 1;

/// A call to the counter that is in flight or has timed out. Its amounts are in units of quota.
pub(super) struct CounterCall {
    /// Units to lease; negative for a release.
    pub lease_units: f64,
    /// Units that the call adds in addition to the lease: units admitted without the counter, sampled
    /// requests and the overflow correction.
    pub reported_units: f64,
    /// The part of `reported_units` that accounts for the requests that the call represents as a sample.
    pub sampled_units: f64,
    /// The part of `reported_units` that corrects overflow. It is reported at most once, because the next
    /// total shows what is left to correct. 0 for a call that takes a correction back: if such a call is not
    /// added, the next call reports its amount.
    pub overflow_units: f64,
    pub sent_at: Micros,
    /// Number of times that the counter has been read again for this call.
    pub rereads: u32,
    /// Whether it is unknown if the call was added, because its connection was reset.
    pub outcome_unknown: bool,
}

impl CounterCall {
    /// Returns whether the counter should be read once more. The total shows what the lost reply would have
    /// shown.
    pub fn needs_reread(&self, reply: CounterReply) -> bool {
        reply.is_inconclusive() && self.rereads < MAX_REREADS
    }

    /// Returns the call as it continues with another read after a reply that could not be read.
    pub fn with_reread(self, reply: CounterReply, now: Micros) -> Self {
        CounterCall {
            sent_at: now,
            rereads: self.rereads + 1,
            outcome_unknown: reply == CounterReply::ConnectionReset,
            ..self
        }
    }
}

/// The result of a call.
#[derive(Clone, Copy, PartialEq)]
pub(in crate::decision) enum CounterReply {
    /// The call was added. The value is the counter's total after it, in units.
    Total(f64),
    /// The call succeeded, but the total is not a finite number.
    InvalidTotal,
    /// The call was not added.
    NotAdded,
    /// The call was cancelled or never sent. It is handled as not added, although a cancelled call may have
    /// been sent.
    CancelledOrNotSent,
    /// No reply arrived in time. The service may still add the call, and the reply may still arrive.
    TimedOut,
    /// The call was added, but the reply could not be read.
    Unreadable,
    /// The connection was reset. The call may have been added, and the service is alive.
    ConnectionReset,
}

impl CounterReply {
    /// Classifies the end of a call. `total` is valid with [`Outcome::Ok`] only.
    pub fn classify(outcome: Outcome, total: f64) -> Self {
        match outcome {
            Outcome::Ok if total.is_finite() => CounterReply::Total(total),
            Outcome::Ok => CounterReply::InvalidTotal,
            Outcome::Rejected | Outcome::ConnectFailed => CounterReply::NotAdded,
            Outcome::Cancelled | Outcome::NotSent => CounterReply::CancelledOrNotSent,
            Outcome::TimedOut => CounterReply::TimedOut,
            Outcome::Error => CounterReply::Unreadable,
            Outcome::Reset => CounterReply::ConnectionReset,
        }
    }

    /// Returns whether the service replied with success.
    pub fn is_success(self) -> bool {
        matches!(self, CounterReply::Total(_) | CounterReply::InvalidTotal)
    }

    /// Returns whether the counter has to be read again to learn the total.
    pub fn is_inconclusive(self) -> bool {
        matches!(self, CounterReply::Unreadable | CounterReply::ConnectionReset)
    }
}
