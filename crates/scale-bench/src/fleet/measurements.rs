//! What is counted while the simulated world runs.

use edge_node::decision::{Micros, Outcome};
use hdrhistogram::Histogram;

use super::accounts::QuotaStanding;
use super::endpoint::OverloadCause;
use super::request::{ClientRequest, FinalResult};
use super::scenario::Scenario;

/// Service is looked at in intervals of this length, by when requests were first sent.
pub const INTERVAL: Micros = 1_000_000;

/// Latencies above this, in microseconds, count as this.
const MAX_LATENCY: u64 = 60_000_000;

#[derive(Default)]
struct Interval {
    requested_units: f64,
    served_units: f64,
}

impl Interval {
    fn service(&self) -> f64 {
        if self.requested_units > 0.0 {
            self.served_units / self.requested_units
        } else {
            1.0
        }
    }
}

/// Final results of requests.
#[derive(Default)]
pub struct FinalResults {
    /// Served.
    pub served: f64,
    /// Rejected.
    pub rejected: f64,
    /// Failed.
    pub failed: f64,
    /// Never answered.
    pub lost: f64,
}

/// Attempts that ended otherwise than with a success, by outcome.
#[derive(Default)]
pub struct FailedAttempts {
    /// Rejected by the endpoint.
    pub rejected: f64,
    /// Without a response in time.
    pub timed_out: f64,
    /// Without a connection.
    pub connect_failed: f64,
    /// Whose connection was reset.
    pub reset: f64,
    /// Cancelled by the node.
    pub cancelled: f64,
}

/// Counts of the measured time. They are floating-point numbers because figures are ratios of them.
pub struct Measurements {
    from: Micros,
    until: Micros,
    intervals: Vec<Interval>,
    /// Requests, without their retries.
    pub requests: f64,
    /// Requests within their account's quota.
    pub within_quota: f64,
    /// Final results of the requests.
    pub results: FinalResults,
    /// Requests within their account's quota that were rejected in the end.
    pub rejected_within_quota: f64,
    /// Requests that were served within their class's latency objective.
    pub on_time: f64,
    /// Tries that a node accepted and never answered.
    pub lost_tries: f64,
    /// Requests for which the front had no node at the first try.
    pub without_node: f64,
    /// Units of tries under a quota for which an attempt was started.
    pub admitted_units: f64,
    /// The part of them beyond the quota.
    pub admitted_beyond_quota: f64,
    /// Attempts.
    pub attempts: f64,
    /// Attempts that crossed zones.
    pub cross_zone: f64,
    /// Attempts that crossed regions.
    pub cross_region: f64,
    /// Attempts that failed.
    pub failed_attempts: FailedAttempts,
    /// New connections to endpoints.
    pub handshakes: f64,
    /// Calls to the counter service.
    pub counter_calls: f64,
    /// Calls without a reply in time.
    pub counter_timeouts: f64,
    /// Replies that rejected a call.
    pub counter_rejections: f64,
    /// Replies that came after the time limit of their call.
    pub counter_late_replies: f64,
    /// Endpoints that failed under load while they were warming up.
    pub overloaded: f64,
    /// Those of them whose load came mostly from nodes that had been notified of the endpoint's start.
    pub overloaded_by_notified_nodes: f64,
    /// Time from when a request was first sent to its response, in microseconds.
    pub latency: Option<Histogram<u64>>,
}

impl Measurements {
    /// Creates counts of zero.
    pub fn new(scenario: &Scenario) -> Self {
        let from = scenario.measured_from();
        let until = scenario.measured_until();
        let interval_count = (until - from).div_ceil(INTERVAL) as usize;
        Measurements {
            from,
            until,
            intervals: (0..interval_count).map(|_| Interval::default()).collect(),
            requests: 0.0,
            within_quota: 0.0,
            results: FinalResults::default(),
            rejected_within_quota: 0.0,
            on_time: 0.0,
            lost_tries: 0.0,
            without_node: 0.0,
            admitted_units: 0.0,
            admitted_beyond_quota: 0.0,
            attempts: 0.0,
            cross_zone: 0.0,
            cross_region: 0.0,
            failed_attempts: FailedAttempts::default(),
            handshakes: 0.0,
            counter_calls: 0.0,
            counter_timeouts: 0.0,
            counter_rejections: 0.0,
            counter_late_replies: 0.0,
            overloaded: 0.0,
            overloaded_by_notified_nodes: 0.0,
            latency: Histogram::new_with_bounds(1, MAX_LATENCY, 3).ok(),
        }
    }

    /// The length of the measured time, in seconds.
    pub fn seconds(&self) -> f64 {
        (self.until - self.from) as f64 / 1e6
    }

    /// By interval, the share of the units requested within quotas that was served.
    pub fn service_by_interval(&self) -> Vec<f64> {
        self.intervals.iter().map(Interval::service).collect()
    }

    /// Counts a request of the measured time that is sent for the first time.
    pub fn request_sent(&mut self, request: &ClientRequest) {
        self.requests += 1.0;
        if request.quota == QuotaStanding::Within {
            self.within_quota += 1.0;
            if let Some(interval) = self.interval_mut(request.sent_at) {
                interval.requested_units += request.units;
            }
        }
    }

    /// Counts the final result of a request of the measured time.
    pub fn request_completed(
        &mut self,
        request: &ClientRequest,
        now: Micros,
        result: FinalResult,
        latency_objective: Micros,
    ) {
        match result {
            FinalResult::Served => self.request_served(request, now - request.sent_at, latency_objective),
            FinalResult::Rejected => {
                self.results.rejected += 1.0;
                if request.quota == QuotaStanding::Within {
                    self.rejected_within_quota += 1.0;
                }
            }
            FinalResult::Failed => self.results.failed += 1.0,
            FinalResult::Lost => self.results.lost += 1.0,
        }
    }

    fn request_served(&mut self, request: &ClientRequest, elapsed: Micros, latency_objective: Micros) {
        self.results.served += 1.0;
        if elapsed <= latency_objective {
            self.on_time += 1.0;
        }
        if let Some(latency) = &mut self.latency {
            latency.saturating_record(elapsed.max(1));
        }
        if request.quota == QuotaStanding::Within {
            if let Some(interval) = self.interval_mut(request.sent_at) {
                interval.served_units += request.units;
            }
        }
    }

    /// Counts a try that its node accepted and never answered.
    pub fn try_lost(&mut self, now: Micros) {
        if self.is_measured(now) {
            self.lost_tries += 1.0;
        }
    }

    /// Counts a request of the measured time for which the front had no node at the first try.
    pub fn no_node_available(&mut self) {
        self.without_node += 1.0;
    }

    /// Counts a try under a quota of the measured time for which the first attempt was started.
    pub fn try_admitted(&mut self, units: f64, quota: QuotaStanding) {
        self.admitted_units += units;
        if quota == QuotaStanding::Beyond {
            self.admitted_beyond_quota += units;
        }
    }

    /// Counts an attempt of the measured time.
    pub fn attempt_started(&mut self, crosses_zones: bool, crosses_regions: bool) {
        self.attempts += 1.0;
        if crosses_zones {
            self.cross_zone += 1.0;
        }
        if crosses_regions {
            self.cross_region += 1.0;
        }
    }

    /// Counts the end of an attempt.
    pub fn attempt_ended(&mut self, now: Micros, outcome: Outcome) {
        if !self.is_measured(now) {
            return;
        }
        let count = match outcome {
            Outcome::Rejected => &mut self.failed_attempts.rejected,
            Outcome::TimedOut => &mut self.failed_attempts.timed_out,
            Outcome::ConnectFailed => &mut self.failed_attempts.connect_failed,
            Outcome::Reset => &mut self.failed_attempts.reset,
            Outcome::Cancelled => &mut self.failed_attempts.cancelled,
            Outcome::Ok | Outcome::Error | Outcome::NotSent => return,
        };
        *count += 1.0;
    }

    /// Counts a new connection to an endpoint.
    pub fn connection_opened(&mut self, now: Micros) {
        if self.is_measured(now) {
            self.handshakes += 1.0;
        }
    }

    /// Counts a call to the counter service.
    pub fn counter_called(&mut self, now: Micros) {
        if self.is_measured(now) {
            self.counter_calls += 1.0;
        }
    }

    /// Counts a call without a reply in time.
    pub fn counter_timed_out(&mut self, now: Micros) {
        if self.is_measured(now) {
            self.counter_timeouts += 1.0;
        }
    }

    /// Counts a reply of the counter service; `is_late` if its call had timed out.
    pub fn counter_replied(&mut self, now: Micros, outcome: Outcome, is_late: bool) {
        if !self.is_measured(now) {
            return;
        }
        if outcome != Outcome::Ok {
            self.counter_rejections += 1.0;
        }
        if is_late {
            self.counter_late_replies += 1.0;
        }
    }

    /// Counts an endpoint that failed under load while it was warming up.
    pub fn endpoint_overloaded(&mut self, cause: OverloadCause) {
        self.overloaded += 1.0;
        if cause == OverloadCause::NotifiedNodes {
            self.overloaded_by_notified_nodes += 1.0;
        }
    }

    fn is_measured(&self, now: Micros) -> bool {
        now >= self.from && now < self.until
    }

    fn interval_mut(&mut self, sent_at: Micros) -> Option<&mut Interval> {
        self.intervals.get_mut(((sent_at - self.from) / INTERVAL) as usize)
    }
}
