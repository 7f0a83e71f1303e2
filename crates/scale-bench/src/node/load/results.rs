//! How the requests of the load ended, summed up over all of them.

use std::time::Duration;

use hdrhistogram::Histogram;

use crate::error::BenchError;
use crate::fakes::endpoints::Endpoints;

/// Longest latency that is recorded, in microseconds. Longer ones are recorded with this value.
const MAX_LATENCY: u64 = 120_000_000;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestEnd {
    /// A response with this status arrived in time, which is by the deadline plus a short tolerance.
    Status(u16),
    /// A response with status 200 arrived in time, but its body is not the one that an endpoint creates for
    /// the request.
    WrongBody,
    /// A response with any status arrived too late to be in time.
    Late,
    /// No response arrived until the client stopped waiting, which is after the deadline.
    Lost,
    /// The connection could not be opened, or it failed before a complete response arrived.
    ConnectionError,
}

/// The result of one request.
pub struct RequestResult {
    /// Number of the request in the schedule, from 0.
    pub number: u32,
    /// How the request ended.
    pub end: RequestEnd,
    /// Time from when the request was due to when the client sent it.
    pub send_delay: Duration,
    /// Time from when the request was due to its response, or to the end of the wait for one.
    pub elapsed: Duration,
    /// Whether the request was sent a second time because its idle connection was closed before a response
    /// came.
    pub resent: bool,
    /// Number of connections that the clients opened for the request.
    pub connections_opened: u32,
}

/// The results of all requests.
pub struct LoadResults {
    /// Number of requests sent.
    pub sent: u64,
    /// Number of responses with status 200 that arrived in time and have the right body.
    pub ok: u64,
    /// Number of responses with status 429 that arrived in time.
    pub too_many_requests: u64,
    /// Number of responses with status 503 that arrived in time.
    pub unavailable: u64,
    /// Number of responses with any other status that arrived in time.
    pub other_status: u64,
    /// Number of responses with status 200 that arrived in time with a wrong body.
    pub wrong_body: u64,
    /// Number of responses that arrived too late to be in time.
    pub late: u64,
    /// Number of requests without a response until the clients stopped waiting.
    pub lost: u64,
    /// Number of requests whose connection could not be opened, or failed before a complete response arrived.
    pub connection_errors: u64,
    /// Number of requests that were sent a second time, on a new connection.
    pub resent: u64,
    /// Number of connections that the clients opened.
    pub connections: u64,
    /// Latency that the node added, in microseconds: time from when the request was due to its end, less the
    /// endpoint's service time. It is recorded for responses with status 200 that arrived in time with
    /// the right body, for late responses with any status, and for lost requests.
    pub added_latency: Histogram<u64>,
    /// Added latency less the time by which the client sent the request late, in microseconds.
    pub added_latency_from_sent: Histogram<u64>,
    /// Time from when a request was due to when the client sent it, in microseconds.
    pub send_delay: Histogram<u64>,
    /// Number of attempts that reached endpoints for these requests.
    pub attempts: u64,
}

impl LoadResults {
    /// Creates results of no requests.
    ///
    /// # Errors
    /// Returns an error if a histogram can't be created.
    pub fn new() -> Result<LoadResults, BenchError> {
        Ok(LoadResults {
            sent: 0,
            ok: 0,
            too_many_requests: 0,
            unavailable: 0,
            other_status: 0,
            wrong_body: 0,
            late: 0,
            lost: 0,
            connection_errors: 0,
            resent: 0,
            connections: 0,
            added_latency: histogram()?,
            added_latency_from_sent: histogram()?,
            send_delay: histogram()?,
            attempts: 0,
        })
    }

    /// Adds the result of a request, and what the endpoints recorded about it.
    pub fn add(&mut self, result: &RequestResult, endpoints: &Endpoints) {
        self.sent += 1;
        self.resent += u64::from(result.resent);
        self.connections += u64::from(result.connections_opened);
        self.attempts += u64::from(endpoints.attempts(result.number));
        self.send_delay.saturating_record(micros(result.send_delay));
        *self.count_of(result.end) += 1;
        if matches!(result.end, RequestEnd::Status(200) | RequestEnd::Late | RequestEnd::Lost) {
            self.add_latency(result, endpoints);
        }
    }

    fn count_of(&mut self, end: RequestEnd) -> &mut u64 {
        match end {
            RequestEnd::Status(200) => &mut self.ok,
            RequestEnd::Status(429) => &mut self.too_many_requests,
            RequestEnd::Status(503) => &mut self.unavailable,
            RequestEnd::Status(_) => &mut self.other_status,
            RequestEnd::WrongBody => &mut self.wrong_body,
            RequestEnd::Late => &mut self.late,
            RequestEnd::Lost => &mut self.lost,
            RequestEnd::ConnectionError => &mut self.connection_errors,
        }
    }

    fn add_latency(&mut self, result: &RequestResult, endpoints: &Endpoints) {
        let service_time = if result.end == RequestEnd::Lost {
            // How much of the wait an endpoint took is unknown, so the whole wait counts as added latency.
            Duration::ZERO
        } else {
            endpoints.service_time(result.number)
        };
        let added = result.elapsed.saturating_sub(service_time);
        self.added_latency.saturating_record(micros(added));
        self.added_latency_from_sent.saturating_record(micros(added.saturating_sub(result.send_delay)));
    }
}

fn histogram() -> Result<Histogram<u64>, BenchError> {
    Histogram::new_with_max(MAX_LATENCY, 3).map_err(|error| BenchError::Argument(error.to_string()))
}

fn micros(time: Duration) -> u64 {
    time.as_micros().min(u128::from(MAX_LATENCY)) as u64
}
