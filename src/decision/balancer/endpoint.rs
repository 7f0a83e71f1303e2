//! The state that a node keeps for one endpoint.

use std::collections::VecDeque;

use super::failure_shares::FailureShares;
use super::latency_estimator::LATENCY_GAIN;
use crate::decision::estimators::{DecayingRate, TokenBucket};
use crate::decision::{EndpointEntry, EndpointState, Micros};

/// Time constant of the completion rate, in microseconds. It covers some tens of responses, and is much
/// shorter than the onset of an overload.
pub(in crate::decision) const COMPLETION_TIME_CONSTANT: f64 = 1.5e6;

/// The list entry, load, health and warm-up of one endpoint, as this node sees them.
#[derive(Default)]
pub(in crate::decision) struct EndpointBalancingState {
    /// The latest list entry of the endpoint. Its `started_at` is the latest of all its entries.
    pub entry: EndpointEntry,
    /// When the attempts in flight were sent, the earliest first. Only the endpoint table, which counts the
    /// attempts in flight, may change it.
    pub in_flight: VecDeque<Micros>,
    /// Mean response time in microseconds.
    pub latency: f64,
    /// Rate of successes and of connection resets that did not eject the endpoint.
    pub completions: DecayingRate,
    /// Shares of the attempts at the endpoint that failed.
    pub(super) failures: FailureShares,
    /// When the endpoint last sent a success or an error response (a rejection does not count); before the
    /// first one, when it became known.
    pub last_response_at: Micros,
    /// The latest time at which an attempt was sent that succeeded; 0 before the first success.
    pub last_success_sent_at: Micros,
    /// Number of ejections since the last success or restart.
    pub consecutive_ejections: u32,
    /// Number of connections that were reset during a request since the last success, error response,
    /// rejection or restart.
    pub connection_resets: u32,
    /// When the latest ejection ends; 0 if there was none since the last restart.
    pub ejected_until: Micros,
    /// When the latest recovery test started; 0 if there was none since the last restart.
    pub recovery_tested_at: Micros,
    /// The requests that the endpoint may be sent while it warms up. The bucket refills by the request count
    /// of `SlowStart` in place of the time.
    pub slow_start: TokenBucket,
}

impl EndpointBalancingState {
    /// Returns the state of an endpoint that becomes known at `now`. `latency`, in microseconds, is the mean
    /// response time that is assumed for it: that of the fleet.
    pub fn new(entry: EndpointEntry, slow_start: TokenBucket, latency: f64, now: Micros) -> Self {
        EndpointBalancingState {
            entry,
            latency,
            last_response_at: now,
            slow_start,
            ..EndpointBalancingState::default()
        }
    }

    /// Resets what a restart invalidates. The attempts in flight and the shares of failures stay.
    pub fn reset_after_restart(&mut self, slow_start: TokenBucket, latency: f64) {
        self.consecutive_ejections = 0;
        self.connection_resets = 0;
        self.ejected_until = 0;
        self.recovery_tested_at = 0;
        self.slow_start = slow_start;
        self.latency = latency;
    }

    /// Returns whether the endpoint list has the endpoint in service.
    pub fn is_active(&self) -> bool {
        self.entry.state == EndpointState::Active
    }

    /// Returns the rate of successes and of connection resets that did not eject the endpoint, in requests
    /// per second.
    pub fn completion_rate(&self, now: Micros) -> f64 {
        self.completions.per_second(now, COMPLETION_TIME_CONSTANT)
    }

    /// Records a success or a connection reset that did not eject the endpoint.
    pub fn record_completion(&mut self, now: Micros) {
        self.completions.record(now, 1.0, COMPLETION_TIME_CONSTANT);
    }

    /// Records a success. It ends an ejection and resets the count of consecutive ejections.
    pub fn record_success(&mut self, sent_at: Micros, elapsed: Micros, now: Micros) {
        self.latency += (elapsed as f64 - self.latency) * LATENCY_GAIN;
        self.record_completion(now);
        self.last_success_sent_at = self.last_success_sent_at.max(sent_at);
        self.last_response_at = now;
        self.consecutive_ejections = 0;
        self.ejected_until = self.ejected_until.min(now);
    }

    /// Returns when the attempts in flight were sent, the earliest first, without those sent before the end
    /// of the latest ejection. An attempt sent before then that gets no response, and whose request must not
    /// be retried, may stay in flight until its client disconnects. If it counted, the endpoint would seem
    /// unresponsive, and would not be used, until long after it has recovered.
    pub fn in_flight_since_ejection(&self) -> impl Iterator<Item = Micros> + '_ {
        self.in_flight.iter().copied().filter(|&sent_at| sent_at >= self.ejected_until)
    }
}
