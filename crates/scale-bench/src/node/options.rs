//! The arguments of `node`, their bounds, and the limits that are derived from them.

use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Args, Parser};
use serde::Serialize;

use super::limits::LATE_RESPONSE_WAIT;
use super::option_values::{AgentReturn, Arrivals, InitialList, Span, WorkTimes};
use crate::error::BenchError;
use crate::fakes::endpoint_list::MIN_NAME_LENGTH;
use crate::report::Output;

/// Maximum number of requests in a run. Each one takes memory until the end of the run.
const MAX_REQUESTS: f64 = 5e6;
/// Number of file descriptors for listeners, files and runtimes.
const OWN_DESCRIPTORS: u64 = 64;
/// Ratio of the largest expected number of requests in flight to the mean number.
const IN_FLIGHT_MARGIN: f64 = 1.25;
/// Maximum number of file descriptors that a run may need.
const MAX_DESCRIPTORS: u64 = 16_000;
/// Time that a run may take in addition to the times set by its options.
const TIME_MARGIN: Duration = Duration::from_secs(15);
/// Maximum length of a request or response body, in bytes.
const MAX_BODY_LENGTH: usize = 60_000;

/// The arguments of `node`. Each field has the name of its command-line option. These names call endpoints
/// `servers`, and accounts `tenants`.
#[derive(Args, Debug, Clone, Serialize)]
pub struct Options {
    /// Program of the edge node, from this build or an earlier one
    #[arg(long, value_name = "PATH", default_value = "target/release/edge-node")]
    pub program: PathBuf,
    /// Number of endpoints (app servers) in the endpoint list, each at its own loopback address
    #[arg(
        long, value_name = "N", default_value_t = 200,
        value_parser = clap::value_parser!(u32).range(2..=200_000)
    )]
    pub servers: u32,
    /// Number of edge nodes according to the node's settings; only one of them is run
    #[arg(
        long, value_name = "N", default_value_t = 300,
        value_parser = clap::value_parser!(u32).range(1..=1_000_000)
    )]
    pub nodes: u32,
    /// Index of the edge node that is run, from 0
    #[arg(long, value_name = "N", default_value_t = 0)]
    pub me: u32,
    /// Seed of the endpoint list, its changes, the requests and their arrival times, the work times, and the
    /// node's random choices
    #[arg(long, value_name = "N", default_value_t = 1)]
    pub seed: u64,
    /// Mean number of requests per second
    #[arg(long, value_name = "PER_S", default_value_t = 130.0, value_parser = number_within(0.1..=20_000.0))]
    pub rate: f64,
    /// Distribution of the times between requests
    #[arg(long, value_enum, default_value_t = Arrivals::Poisson)]
    pub arrivals: Arrivals,
    /// Seconds from readiness to the start of the idle phase
    #[arg(long, value_name = "S", default_value_t = 1.0, value_parser = number_within(0.0..=600.0))]
    pub settle_s: f64,
    /// Seconds of the idle phase, in which no requests are sent but the endpoint list goes on changing
    #[arg(long, value_name = "S", default_value_t = 3.0, value_parser = number_within(0.1..=3600.0))]
    pub idle_s: f64,
    /// Seconds of the load phase
    #[arg(long, value_name = "S", default_value_t = 10.0, value_parser = number_within(0.1..=3600.0))]
    pub load_s: f64,
    /// Seconds that the node may take to become ready
    #[arg(long, value_name = "S", default_value_t = 60.0, value_parser = number_within(0.1..=600.0))]
    pub ready_limit_s: f64,
    /// Deadline of each request, in milliseconds
    #[arg(
        long, value_name = "MS", default_value_t = 1000,
        value_parser = clap::value_parser!(u64).range(1..=60_000)
    )]
    pub deadline_ms: u64,
    /// Length of the body of a POST request, in bytes
    #[arg(long, value_name = "BYTES", default_value_t = 200, value_parser = parse_body_length)]
    pub request_bytes: usize,
    /// Length of the body of a response, in bytes; the body is never shorter than a request id
    #[arg(long, value_name = "BYTES", default_value_t = 1024, value_parser = parse_body_length)]
    pub answer_bytes: usize,
    /// Number of accounts (tenants) with a quota that send requests to this node; as many accounts without a
    /// quota send requests, too
    #[arg(
        long, value_name = "N", default_value_t = 200,
        value_parser = clap::value_parser!(u32).range(1..=1_000_000_000)
    )]
    pub tenants: u32,
    /// Share of requests whose plan has a quota
    #[arg(long, value_name = "SHARE", default_value_t = 0.5, value_parser = number_within(0.0..=1.0))]
    pub quota_share: f64,
    /// Units per second that the quota permits
    #[arg(long, value_name = "PER_S", default_value_t = 2.0, value_parser = number_within(0.001..=1e6))]
    pub quota_per_s: f64,
    /// Units that the quota permits at once (its burst)
    #[arg(long, value_name = "UNITS", default_value_t = 12.0, value_parser = number_within(1.0..=1e6))]
    pub quota_burst: f64,
    /// Number of nodes that receive an account's requests
    #[arg(
        long, value_name = "N", default_value_t = 2,
        value_parser = clap::value_parser!(u32).range(1..=1_000_000)
    )]
    pub spread: u32,
    /// Mean time that an endpoint works on a request, in milliseconds
    #[arg(long, value_name = "MS", default_value_t = 5.0, value_parser = number_within(0.0..=10_000.0))]
    pub work_ms: f64,
    /// Distribution of the times that endpoints work on requests
    #[arg(long, value_enum, default_value_t = WorkTimes::Exponential)]
    pub work_times: WorkTimes,
    /// Seconds after which an endpoint closes an idle connection
    #[arg(long, value_name = "S", default_value_t = 30.0, value_parser = number_within(0.1..=3600.0))]
    pub conn_idle_s: f64,
    /// Number of zones; endpoints are assigned to them in turn
    #[arg(
        long, value_name = "N", default_value_t = 19, value_parser = clap::value_parser!(u32).range(1..=1000)
    )]
    pub zones: u32,
    /// Changes of the endpoint list per second: in turn, an endpoint starts, another one drains, and the
    /// draining one is removed
    #[arg(long, value_name = "PER_S", default_value_t = 0.6, value_parser = number_within(0.0..=1000.0))]
    pub changes_per_s: f64,
    /// Endpoint list that the node has when it starts
    #[arg(long, value_enum, default_value_t = InitialList::Old)]
    pub known: InitialList,
    /// Indent the JSON of the endpoint lists that the discovery agent sends
    #[arg(long)]
    pub indented: bool,
    /// Length of each endpoint's name, in bytes
    #[arg(
        long, value_name = "BYTES", default_value_t = MIN_NAME_LENGTH as u16,
        value_parser = clap::value_parser!(u16).range(MIN_NAME_LENGTH as i64..=200)
    )]
    pub name_length: u16,
    /// Seconds into the load after which the discovery agent sends a whole list of other endpoints
    #[arg(long, value_name = "S", value_parser = number_within(0.0..=3600.0))]
    pub replace_at_s: Option<f64>,
    /// Part of the load in which the discovery agent sends no responses, in seconds since the start of the
    /// load
    #[arg(long, value_name = "FROM..TO")]
    pub agent_silent_s: Option<Span>,
    /// What the discovery agent sends first after its silence
    #[arg(long, value_enum, default_value_t = AgentReturn::Whole)]
    pub agent_returns: AgentReturn,
    /// Part of the load in which the counter service sends no replies, in seconds since the start of the load
    #[arg(long, value_name = "FROM..TO")]
    pub counter_silent_s: Option<Span>,
    /// Calls per second that the counter service accepts; it rejects further calls with -BUSY
    #[arg(long, value_name = "PER_S", default_value_t = 800.0, value_parser = number_within(0.0..=1e6))]
    pub counter_per_s: f64,
    /// Milliseconds that the counter service takes to reply to a call
    #[arg(long, value_name = "MS", default_value_t = 1.0, value_parser = number_within(0.0..=10_000.0))]
    pub counter_delay_ms: f64,
    /// Limit of file descriptors in the node's configuration
    #[arg(
        long, value_name = "N", default_value_t = 1024,
        value_parser = clap::value_parser!(u32).range(64..=16_384)
    )]
    pub sockets: u32,
    /// Memory limit in the node's configuration, in megabytes; not enforced
    #[arg(
        long, value_name = "MB", default_value_t = 192,
        value_parser = clap::value_parser!(u32).range(16..=8_192)
    )]
    pub memory_mb: u32,
    /// The format and destination of the figures.
    #[command(flatten)]
    #[serde(skip)]
    pub output: Output,
}

impl Options {
    /// Checks that the arguments don't contradict each other and that the run is not too large.
    ///
    /// # Errors
    /// Returns an error that names the arguments that contradict each other or exceed a maximum.
    pub fn check(&self) -> Result<(), BenchError> {
        if self.me >= self.nodes {
            return argument_error(format!("--me {} must be less than --nodes {}", self.me, self.nodes));
        }
        if self.spread > self.nodes {
            return argument_error(format!(
                "--spread {} must not be more than --nodes {}",
                self.spread, self.nodes
            ));
        }
        if self.rate * self.load_s > MAX_REQUESTS {
            return argument_error(format!(
                "--rate times --load-s is more than the maximum of {MAX_REQUESTS} requests"
            ));
        }
        let needed = self.descriptors();
        if needed > MAX_DESCRIPTORS {
            return argument_error(format!(
                "--rate, --deadline-ms and --sockets may need {needed} file descriptors; the \
                 maximum is {MAX_DESCRIPTORS}"
            ));
        }
        self.check_times()
    }

    /// Checks that all events scheduled for the load happen before the load ends.
    fn check_times(&self) -> Result<(), BenchError> {
        let ends = [
            ("--agent-silent-s", self.agent_silent_s.map(|span| span.to_s)),
            ("--counter-silent-s", self.counter_silent_s.map(|span| span.to_s)),
            ("--replace-at-s", self.replace_at_s),
        ];
        for (name, end) in ends {
            if let Some(end) = end.filter(|end| *end > self.load_s) {
                return argument_error(format!(
                    "{name} {end} is after the end of the load, --load-s {}",
                    self.load_s
                ));
            }
        }
        Ok(())
    }

    /// Returns how many file descriptors this process needs: one for the client connection of each request
    /// that may be in flight, one for the endpoint side of each connection of the node, and a fixed number
    /// for its own files.
    pub fn descriptors(&self) -> u64 {
        let in_flight = self.rate * (self.deadline_ms as f64 / 1e3 + LATE_RESPONSE_WAIT.as_secs_f64());
        (IN_FLIGHT_MARGIN * in_flight) as u64 + u64::from(self.sockets) + OWN_DESCRIPTORS
    }

    /// Returns the time limit of the whole run: the times set by the options plus a margin.
    pub fn time_limit(&self) -> Duration {
        let configured_s = self.ready_limit_s + self.settle_s + self.idle_s + self.load_s;
        let configured = Duration::from_secs_f64(configured_s);
        configured + Duration::from_millis(self.deadline_ms) + LATE_RESPONSE_WAIT + TIME_MARGIN
    }
}

fn argument_error(reason: String) -> Result<(), BenchError> {
    Err(BenchError::Argument(reason))
}

fn parse_body_length(text: &str) -> Result<usize, String> {
    match text.parse() {
        Ok(size) if size <= MAX_BODY_LENGTH => Ok(size),
        _ => Err(format!("expected 0 to {MAX_BODY_LENGTH} bytes")),
    }
}

/// Returns a value parser for numbers within `bounds`, which are themselves permitted.
fn number_within(
    bounds: RangeInclusive<f64>,
) -> impl Fn(&str) -> Result<f64, String> + Clone + Send + Sync + 'static {
    move |text| match text.parse() {
        Ok(number) if bounds.contains(&number) => Ok(number),
        _ => Err(format!("expected a number from {} to {}", bounds.start(), bounds.end())),
    }
}

impl Default for Options {
    /// Returns the defaults of the command line.
    fn default() -> Self {
        #[derive(Parser)]
        struct NoArguments {
            #[command(flatten)]
            options: Options,
        }
        NoArguments::parse_from(["node"]).options
    }
}
