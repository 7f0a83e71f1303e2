//! Outlier detection: which endpoints are ejected, and for how long. `recovery` says how an ejected one is
//! tried again.

use super::endpoint::Endpoint;
use super::failure_shares::FAILURE_TIME_CONSTANT;
use super::EndedAttemptSample;
use crate::decision::estimators::DecayingMean;
use crate::decision::{Micros, Outcome};

/// First ejection; each further one without a success in between is twice as long, up to the longest.
const FIRST_EJECTION: Micros = 400_000;
const LONGEST_EJECTION: Micros = 6_400_000;
/// The ejection time is doubled no more often; it is at the longest by then.
const MAX_EJECTION_DOUBLINGS: u32 = 8;
/// Consecutive connection resets eject an endpoint when so many would come by chance, at the fleet's own
/// share of resets, less often than this...
const MAX_RESET_PROBABILITY: f64 = 0.01;
/// ... and so many always do.
const MAX_CONNECTION_RESETS: u32 = 3;
/// With up to so many attempts in flight, an endpoint may send no response for twice the latency bound.
const FEW_IN_FLIGHT: usize = 2;

/// Whether an endpoint may be sent attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Health {
    /// It is healthy as far as is known.
    Healthy,
    /// Its ejection is over, and it has not succeeded since: a single attempt shows whether it has recovered
    /// (`recovery`).
    Recovering,
    /// It is ejected or unresponsive.
    Unavailable,
}

/// Judges endpoints by connections that are reset or not established, and by missing responses.
#[derive(Default)]
pub(super) struct OutlierDetector {
    /// The share of responses and resets over the fleet that are resets.
    connection_resets: DecayingMean,
}

impl OutlierDetector {
    /// Takes in how an attempt ended and returns whether the endpoint is to be ejected for it. To be called
    /// before the response itself is recorded.
    pub fn must_eject(&mut self, endpoint: &mut Endpoint, ended: &EndedAttemptSample, now: Micros) -> bool {
        let resets_are_unusual = self.record_connection(endpoint, ended.outcome, now);
        match ended.outcome {
            Outcome::ConnectFailed => true,
            Outcome::Reset => resets_are_unusual,
            Outcome::TimedOut | Outcome::Cancelled => {
                let sent_since_ejection = ended.sent_at >= endpoint.ejected_until;
                sent_since_ejection && no_response_since(endpoint, ended.sent_at)
            }
            Outcome::Ok | Outcome::Error | Outcome::Rejected | Outcome::NotSent => false,
        }
    }

    /// Counts connection resets and returns whether those of the endpoint are unusual.
    ///
    /// On a lossy network, or where endpoints close idle connections early, connections break at all
    /// endpoints alike; ejected for one reset each, most of a fleet that answers would be out. So the resets
    /// since its last response count against an endpoint by how rare resets are in the fleet, and where they
    /// are rare one is enough. The price: where endpoints fail while many others reset, each takes two or
    /// three more.
    fn record_connection(&mut self, endpoint: &mut Endpoint, outcome: Outcome, now: Micros) -> bool {
        let fleet_share = self.connection_resets.with_prior(now, 0.0, FAILURE_TIME_CONSTANT);
        match outcome {
            Outcome::Reset => {
                self.connection_resets.record(now, 1.0, FAILURE_TIME_CONSTANT);
                endpoint.connection_resets += 1;
            }
            Outcome::Ok | Outcome::Error | Outcome::Rejected => {
                self.connection_resets.record(now, 0.0, FAILURE_TIME_CONSTANT);
                endpoint.connection_resets = 0;
            }
            Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Cancelled | Outcome::NotSent => {}
        }
        let probability = fleet_share.powi(endpoint.connection_resets as i32);
        endpoint.connection_resets >= MAX_CONNECTION_RESETS || probability < MAX_RESET_PROBABILITY
    }
}

/// Whether an endpoint has sent no response since `sent_at`.
pub(super) fn no_response_since(endpoint: &Endpoint, sent_at: Micros) -> bool {
    endpoint.last_response_at < sent_at
}

impl Endpoint {
    /// Whether it is ejected at `now`.
    pub fn is_ejected(&self, now: Micros) -> bool {
        self.ejected_until > now
    }

    /// Ejects it, for longer each time. Does nothing while it is ejected.
    pub fn eject(&mut self, now: Micros) {
        if self.is_ejected(now) {
            return;
        }
        self.consecutive_ejections += 1;
        self.ejected_until = now + self.latest_ejection_time();
    }

    /// How long its latest ejection lasts; the first one, if it was never ejected.
    pub(super) fn latest_ejection_time(&self) -> Micros {
        let doublings = self.consecutive_ejections.saturating_sub(1).min(MAX_EJECTION_DOUBLINGS);
        (FIRST_EJECTION << doublings).min(LONGEST_EJECTION)
    }

    /// Whether it is unresponsive though requests wait: since its last response, the oldest attempt in flight
    /// has waited for longer than `latency_bound` microseconds, or twice that where few are in flight.
    pub fn is_unresponsive(&self, latency_bound: f64, now: Micros) -> bool {
        let Some(oldest_sent_at) = self.in_flight_since_ejection().next() else { return false };
        let unresponsive_for = now.saturating_sub(oldest_sent_at.max(self.last_response_at)) as f64;
        let factor = if self.in_flight.len() > FEW_IN_FLIGHT { 1.0 } else { 2.0 };
        unresponsive_for > latency_bound * factor
    }

    /// Whether it may be sent attempts.
    pub(super) fn health(&self, latency_bound: f64, now: Micros) -> Health {
        if self.is_ejected(now) || self.is_unresponsive(latency_bound, now) {
            Health::Unavailable
        } else if self.consecutive_ejections > 0 {
            Health::Recovering
        } else {
            Health::Healthy
        }
    }

    /// Whether the attempt that shows if it has recovered is in flight already.
    pub fn has_recovery_attempt_in_flight(&self) -> bool {
        self.in_flight.back().is_some_and(|&sent_at| sent_at >= self.ejected_until)
    }
}
