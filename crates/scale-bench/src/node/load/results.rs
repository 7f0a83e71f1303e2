//! What became of the requests.

use std::time::Duration;

use hdrhistogram::Histogram;

use crate::error::BenchError;
use crate::fakes::endpoints::Endpoints;

/// Longer latencies, in microseconds, count as this.
const MAX_LATENCY: u64 = 120_000_000;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestEnd {
    /// With this status, in time.
    Status(u16),
    /// With 200 in time, and a body that no endpoint made for it.
    WrongBody,
    /// With a response after the deadline.
    Late,
    /// Without a response for as long as was waited.
    Lost,
    /// The connection failed or ended without a response.
    ConnectionError,
}

/// What became of one request.
pub struct RequestResult {
    /// Its number.
    pub number: u32,
    /// How it ended.
    pub end: RequestEnd,
    /// How long after it was due it was sent.
    pub sent_late: Duration,
    /// How long after it was due its response came, or the wait ended.
    pub elapsed: Duration,
    /// Whether it was sent once more, because its connection was closed meanwhile.
    pub resent: bool,
    /// Connections that were opened for it.
    pub connections_opened: u32,
}

/// What became of all requests.
pub struct LoadResults {
    /// Requests sent.
    pub sent: u64,
    /// Responses of 200 in time.
    pub ok: u64,
    /// Responses of 429 in time.
    pub too_many_requests: u64,
    /// Responses of 503 in time.
    pub unavailable: u64,
    /// Responses of any other status in time.
    pub other_status: u64,
    /// Responses of 200 with a body that no endpoint made for the request.
    pub wrong_body: u64,
    /// Responses that came after the deadline.
    pub late: u64,
    /// Requests without a response.
    pub lost: u64,
    /// Connections that failed or ended without a response.
    pub connection_errors: u64,
    /// Requests that were sent once more on a new connection.
    pub resent: u64,
    /// Connections opened.
    pub connections: u64,
    /// Latency that the node added, in microseconds: of requests served, however late, and of those lost.
    pub added_latency: Histogram<u64>,
    /// The same from when requests were sent, so without what the clients themselves were late by.
    pub added_latency_from_sent: Histogram<u64>,
    /// How late the clients sent, in microseconds.
    pub sent_late: Histogram<u64>,
    /// Attempts at endpoints for these requests.
    pub attempts: u64,
}

impl LoadResults {
    /// Creates results without requests.
    ///
    /// # Errors
    /// If there is no memory for histograms.
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
            sent_late: histogram()?,
            attempts: 0,
        })
    }

    /// Adds what became of a request.
    pub fn add(&mut self, result: &RequestResult, endpoints: &Endpoints) {
        self.sent += 1;
        self.resent += u64::from(result.resent);
        self.connections += u64::from(result.connections_opened);
        self.attempts += u64::from(endpoints.attempts(result.number));
        self.sent_late.saturating_record(micros(result.sent_late));
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
            // It took at least as long as was waited; an endpoint's part of that is not known.
            Duration::ZERO
        } else {
            endpoints.service_time(result.number)
        };
        let added = result.elapsed.saturating_sub(service_time);
        self.added_latency.saturating_record(micros(added));
        self.added_latency_from_sent.saturating_record(micros(added.saturating_sub(result.sent_late)));
    }
}

fn histogram() -> Result<Histogram<u64>, BenchError> {
    Histogram::new_with_max(MAX_LATENCY, 3).map_err(|error| BenchError::Argument(error.to_string()))
}

fn micros(time: Duration) -> u64 {
    time.as_micros().min(u128::from(MAX_LATENCY)) as u64
}
