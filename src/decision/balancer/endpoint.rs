//! What a node keeps of one endpoint.

use std::collections::VecDeque;

use super::failure_shares::FailureShares;
use super::latency_estimator::LATENCY_GAIN;
use crate::decision::estimators::{DecayingRate, TokenBucket};
use crate::decision::{EndpointEntry, EndpointState, Micros};

/// Time constant of the rate of responses, in microseconds: some tens of responses, and well within the onset
/// of an overload.
pub(in crate::decision) const COMPLETION_TIME_CONSTANT: f64 = 1.5e6;

/// An endpoint, its load and its health, as this node sees them.
#[derive(Default)]
pub(in crate::decision) struct Endpoint {
    /// Its latest entry of the endpoint list; its start is the latest that any entry named.
    pub entry: EndpointEntry,
    /// When the attempts in flight were sent, the earliest first. Changed through the endpoint table, which
    /// counts them.
    pub in_flight: VecDeque<Micros>,
    /// Mean response time in microseconds.
    pub latency: f64,
    /// Rate at which requests leave it.
    pub completions: DecayingRate,
    /// How its attempts ended.
    pub(super) failures: FailureShares,
    /// When it last sent a response, or became known.
    pub last_response_at: Micros,
    /// When the latest attempt that succeeded was sent.
    pub last_success_sent_at: Micros,
    /// Ejections since its last success or start.
    pub consecutive_ejections: u32,
    /// Connections to it that were reset under a request, since its last response or start.
    pub connection_resets: u32,
    /// It is ejected until then.
    pub ejected_until: Micros,
    /// When an attempt at it last began while it was recovering.
    pub recovery_tested_at: Micros,
    /// What it may be sent while it warms up, on the count of `SlowStart`.
    pub slow_start: TokenBucket,
}

impl Endpoint {
    /// An endpoint that becomes known at `now`; of its response time the fleet's mean is assumed.
    pub fn new(entry: EndpointEntry, slow_start: TokenBucket, latency: f64, now: Micros) -> Self {
        Endpoint { entry, latency, last_response_at: now, slow_start, ..Endpoint::default() }
    }

    /// Forgets what a restart makes void. What is in flight and the shares of failures stay.
    pub fn reset_after_restart(&mut self, slow_start: TokenBucket, latency: f64) {
        self.consecutive_ejections = 0;
        self.connection_resets = 0;
        self.ejected_until = 0;
        self.recovery_tested_at = 0;
        self.slow_start = slow_start;
        self.latency = latency;
    }

    /// Whether the endpoint list has it in service.
    pub fn is_active(&self) -> bool {
        self.entry.state == EndpointState::Active
    }

    /// Responses per second.
    pub fn completion_rate(&self, now: Micros) -> f64 {
        self.completions.per_second(now, COMPLETION_TIME_CONSTANT)
    }

    /// Records that a request left it, with a response or not.
    pub fn record_completion(&mut self, now: Micros) {
        self.completions.record(now, 1.0, COMPLETION_TIME_CONSTANT);
    }

    /// Records a success; it ends an ejection and what led to it.
    pub fn record_success(&mut self, sent_at: Micros, elapsed: Micros, now: Micros) {
        self.latency += (elapsed as f64 - self.latency) * LATENCY_GAIN;
        self.record_completion(now);
        self.last_success_sent_at = self.last_success_sent_at.max(sent_at);
        self.last_response_at = now;
        self.consecutive_ejections = 0;
        self.ejected_until = self.ejected_until.min(now);
    }

    /// When the attempts in flight were sent, without those sent before the latest ejection ended. What hung
    /// then may never be retried, and would keep an endpoint out long after it has recovered.
    pub fn in_flight_since_ejection(&self) -> impl Iterator<Item = Micros> + '_ {
        self.in_flight.iter().copied().filter(|&sent_at| sent_at >= self.ejected_until)
    }
}
