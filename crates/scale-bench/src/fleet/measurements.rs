//! Counts what happens in the measured time of a run, and the endpoints that are overloaded in the whole run.

use edge_node::decision::{Micros, Outcome};
use hdrhistogram::Histogram;

use super::accounts::QuotaStanding;
use super::endpoint::OverloadCause;
use super::request::{ClientRequest, FinalResult};
use super::scenario::Scenario;

/// Length of the intervals for which service is computed. A request belongs to the interval in which it was
/// first sent.
pub const INTERVAL: Micros = 1_000_000;

/// Largest latency that is distinguished, in microseconds. Longer latencies are recorded as this.
const MAX_LATENCY: u64 = 60_000_000;

/// Units of the requests within quotas that were first sent in one interval.
#[derive(Default)]
struct Interval {
    requested_units: f64,
    served_units: f64,
}

impl Interval {
    /// Returns the share of the requested units that was served, or 1 if none were requested.
    fn service(&self) -> f64 {
        if self.requested_units > 0.0 {
            self.served_units / self.requested_units
        } else {
            1.0
        }
    }
}

/// Numbers of requests by final result.
#[derive(Default)]
pub struct FinalResults {
    /// Requests that were served.
    pub served: f64,
    /// Requests that were rejected.
    pub rejected: f64,
    /// Requests that failed, including those for which no node was available.
    pub failed: f64,
    /// Requests that never got a response.
    pub lost: f64,
}

/// Numbers of attempts that failed or were cancelled, by outcome. The outcomes `Error` and `NotSent` are not
/// counted.
#[derive(Default)]
pub struct FailedAttempts {
    /// Attempts that the endpoint rejected.
    pub rejected: f64,
    /// Attempts without a response within their time limit.
    pub timed_out: f64,
    /// Attempts for which no connection could be established.
    pub connect_failed: f64,
    /// Attempts whose connection was reset.
    pub reset: f64,
    /// Attempts that the node cancelled.
    pub cancelled: f64,
}

/// Counts of the measured time, except for the counts of overloaded endpoints, which are of the whole run.
/// They are floating-point numbers because the figures are ratios of them.
pub struct Measurements {
    from: Micros,
    until: Micros,
    intervals: Vec<Interval>,
    /// Requests that were first sent in the measured time. Retries are not counted.
    pub requests: f64,
    /// Requests within the quota of their account.
    pub within_quota: f64,
    /// Requests by final result.
    pub results: FinalResults,
    /// Requests within the quota of their account whose final result is a rejection.
    pub rejected_within_quota: f64,
    /// Requests that were served within the latency objective of their class.
    pub on_time: f64,
    /// Tries that were sent to a node and never got a response.
    pub lost_tries: f64,
    /// Requests for whose first try the front had no available node.
    pub without_node: f64,
    /// Units of the tries of accounts with a quota for which a node started an attempt.
    pub admitted_units: f64,
    /// The part of `admitted_units` that was over quota.
    pub admitted_over_quota: f64,
    /// Attempts that nodes sent.
    pub attempts: f64,
    /// Attempts whose node and endpoint are in different zones.
    pub cross_zone: f64,
    /// Attempts whose node and endpoint are in different regions.
    pub cross_region: f64,
    /// Attempts that failed or were cancelled, by outcome.
    pub failed_attempts: FailedAttempts,
    /// New connections that were established to endpoints.
    pub handshakes: f64,
    /// Calls to the counter service.
    pub counter_calls: f64,
    /// Calls without a reply within their time limit.
    pub counter_timeouts: f64,
    /// Replies that reject a call.
    pub counter_rejections: f64,
    /// Replies that reached their node after the time limit of the call.
    pub counter_late_replies: f64,
    /// Endpoints that failed because of overload while they were warming up, at any time of the run.
    pub overloaded: f64,
    /// The part of `overloaded` for which more than two thirds of the load came from nodes that had been
    /// notified of the endpoint's start.
    pub overloaded_by_notified_nodes: f64,
    /// Time from the first sending of a served request to its response, in microseconds.
    pub latency: Option<Histogram<u64>>,
}

impl Measurements {
    /// Creates measurements in which all counts are 0.
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
            admitted_over_quota: 0.0,
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

    /// Returns the length of the measured time in seconds.
    pub fn seconds(&self) -> f64 {
        (self.until - self.from) as f64 / 1e6
    }

    /// Returns for each interval the share of the units requested within quotas that was served, from 0 to 1.
    /// An interval without such units has the share 1.
    pub fn service_by_interval(&self) -> Vec<f64> {
        self.intervals.iter().map(Interval::service).collect()
    }

    /// Counts a request that is first sent in the measured time.
    pub fn request_sent(&mut self, request: &ClientRequest) {
        self.requests += 1.0;
        if request.quota == QuotaStanding::Within {
            self.within_quota += 1.0;
            if let Some(interval) = self.interval_mut(request.sent_at) {
                interval.requested_units += request.units;
            }
        }
    }

    /// Counts the final result of a request that was first sent in the measured time.
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

    /// Counts a try that is lost at `now`, if that is in the measured time.
    pub fn try_lost(&mut self, now: Micros) {
        if self.is_measured(now) {
            self.lost_tries += 1.0;
        }
    }

    /// Counts a request for whose first try the front had no available node. The request has to be first sent
    /// in the measured time.
    pub fn no_node_available(&mut self) {
        self.without_node += 1.0;
    }

    /// Counts a try for which a node starts the first attempt. The account has to have a quota, and the
    /// request has to be first sent in the measured time.
    pub fn try_admitted(&mut self, units: f64, quota: QuotaStanding) {
        self.admitted_units += units;
        if quota == QuotaStanding::Beyond {
            self.admitted_over_quota += units;
        }
    }

    /// Counts an attempt that a node sends in the measured time.
    pub fn attempt_started(&mut self, crosses_zones: bool, crosses_regions: bool) {
        self.attempts += 1.0;
        if crosses_zones {
            self.cross_zone += 1.0;
        }
        if crosses_regions {
            self.cross_region += 1.0;
        }
    }

    /// Counts the end of an attempt by outcome, if `now` is in the measured time. Outcomes without a count in
    /// [`FailedAttempts`] are ignored.
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

    /// Counts a new connection to an endpoint, if `now` is in the measured time.
    pub fn connection_opened(&mut self, now: Micros) {
        if self.is_measured(now) {
            self.handshakes += 1.0;
        }
    }

    /// Counts a call to the counter service, if `now` is in the measured time.
    pub fn counter_called(&mut self, now: Micros) {
        if self.is_measured(now) {
            self.counter_calls += 1.0;
        }
    }

    /// Counts a call whose time limit is over at `now` without a reply, if `now` is in the measured time.
    pub fn counter_timed_out(&mut self, now: Micros) {
        if self.is_measured(now) {
            self.counter_timeouts += 1.0;
        }
    }

    /// Counts a reply of the counter service, if `now` is in the measured time. `is_late` says that the call
    /// had already timed out.
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

    /// Counts an endpoint that fails because of overload while it is warming up, at any time of the run.
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
