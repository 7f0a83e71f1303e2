//! Outlier detection: decides which endpoints are ejected, and for how long. `recovery` decides how an
//! endpoint is tested after its ejection.

use super::endpoint::EndpointBalancingState;
use super::failure_shares::FAILURE_TIME_CONSTANT;
use super::EndedAttemptSample;
use crate::decision::estimators::DecayingMean;
use crate::decision::{Micros, Outcome};

/// Duration of the first ejection in microseconds. Each further ejection without a success in between is
/// twice as long, up to the maximum.
const INITIAL_EJECTION: Micros = 400_000;
const MAX_EJECTION: Micros = 6_400_000;
/// Upper bound of the number of doublings. The ejection duration has reached the maximum by then.
const MAX_EJECTION_DOUBLINGS: u32 = 8;
/// Consecutive connection resets eject an endpoint if the probability that as many occur by chance, at the
/// fleet's share of resets, is below this value.
const MAX_RESET_PROBABILITY: f64 = 0.01;
/// This many consecutive connection resets always eject an endpoint.
const MAX_CONNECTION_RESETS: u32 = 3;
/// With up to this many attempts in flight, an endpoint may go twice the latency bound without a response
/// before it counts as unresponsive.
const FEW_IN_FLIGHT: usize = 2;

/// Whether an endpoint may be sent attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Health {
    /// As far as the node knows, it is neither ejected, recovering nor unresponsive.
    Healthy,
    /// Its ejection is over, and no attempt has succeeded since: a single attempt tests whether it has
    /// recovered (`recovery`).
    Recovering,
    /// It is ejected or unresponsive.
    Unavailable,
}

/// Decides on ejections by connections that are reset or cannot be established, and by missing responses.
#[derive(Default)]
pub(super) struct OutlierDetector {
    /// Of the responses and connection resets over the fleet, the share that are resets.
    connection_resets: DecayingMean,
}

impl OutlierDetector {
    /// Records the end of an attempt in the counts of connection resets and returns whether the endpoint is
    /// to be ejected for it. Must be called before the response is recorded in `endpoint`, so before
    /// `last_response_at` is updated.
    pub fn record_and_decide_ejection(
        &mut self,
        endpoint: &mut EndpointBalancingState,
        ended: &EndedAttemptSample,
        now: Micros,
    ) -> bool {
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
    /// endpoints alike. If each were ejected for one reset, most of a fleet that responds would be ejected.
    /// The resets of an endpoint since its last response (a rejection counts) are therefore weighed by how
    /// rare resets are in the fleet; where they are rare, one reset is enough. The drawback: where endpoints
    /// fail while many others reset connections, each failed endpoint takes two or three more attempts before
    /// it is ejected.
    fn record_connection(
        &mut self,
        endpoint: &mut EndpointBalancingState,
        outcome: Outcome,
        now: Micros,
    ) -> bool {
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

/// Returns whether an endpoint has sent no success or error response since `sent_at`.
pub(super) fn no_response_since(endpoint: &EndpointBalancingState, sent_at: Micros) -> bool {
    endpoint.last_response_at < sent_at
}

impl EndpointBalancingState {
    /// Returns whether the endpoint is ejected at `now`.
    pub fn is_ejected(&self, now: Micros) -> bool {
        self.ejected_until > now
    }

    /// Ejects the endpoint, for longer with each consecutive ejection. Does nothing while it is ejected.
    pub fn eject(&mut self, now: Micros) {
        if self.is_ejected(now) {
            return;
        }
        self.consecutive_ejections += 1;
        self.ejected_until = now + self.latest_ejection_duration();
    }

    /// Returns how long the latest ejection lasts, in microseconds; without consecutive ejections, how
    /// long the first one would.
    pub(super) fn latest_ejection_duration(&self) -> Micros {
        let doublings = self.consecutive_ejections.saturating_sub(1).min(MAX_EJECTION_DOUBLINGS);
        (INITIAL_EJECTION << doublings).min(MAX_EJECTION)
    }

    /// Returns whether the endpoint is unresponsive while requests wait: since its last response, the oldest
    /// attempt in flight has waited for longer than `latency_bound` microseconds, or twice that where few
    /// attempts are in flight. Attempts that were sent before the end of the latest ejection do not count as
    /// the oldest.
    pub fn is_unresponsive(&self, latency_bound: f64, now: Micros) -> bool {
        let Some(oldest_sent_at) = self.in_flight_since_ejection().next() else { return false };
        let unresponsive_for = now.saturating_sub(oldest_sent_at.max(self.last_response_at)) as f64;
        let factor = if self.in_flight.len() > FEW_IN_FLIGHT { 1.0 } else { 2.0 };
        unresponsive_for > latency_bound * factor
    }

    /// Returns whether the endpoint may be sent attempts.
    pub(super) fn health(&self, latency_bound: f64, now: Micros) -> Health {
        if self.is_ejected(now) || self.is_unresponsive(latency_bound, now) {
            Health::Unavailable
        } else if self.consecutive_ejections > 0 {
            Health::Recovering
        } else {
            Health::Healthy
        }
    }

    /// Returns whether the attempt that tests the recovery of the endpoint is in flight already.
    pub fn has_recovery_attempt_in_flight(&self) -> bool {
        self.in_flight.back().is_some_and(|&sent_at| sent_at >= self.ejected_until)
    }
}
