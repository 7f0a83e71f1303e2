//! The arguments of `node`: their bounds, and what follows from them.

use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Args, Parser};
use serde::Serialize;

use super::limits::MAX_LATENESS;
use super::option_values::{AgentReturn, Arrivals, InitialList, Span, WorkTimes};
use crate::error::BenchError;
use crate::fakes::endpoint_list::MIN_NAME_LENGTH;
use crate::report::Output;

/// Requests of one run: some memory is kept for each.
const MAX_REQUESTS: f64 = 5e6;
/// Descriptors for listeners, files and runtimes.
const OWN_DESCRIPTORS: u64 = 64;
/// How many times their mean number of requests may be in flight at once.
const IN_FLIGHT_MARGIN: f64 = 1.25;
/// No run takes more descriptors.
const MAX_DESCRIPTORS: u64 = 16_000;
/// What a run may take beyond the times that its arguments name.
const TIME_MARGIN: Duration = Duration::from_secs(15);
/// The longest body of a request or a response, in bytes.
const MAX_BODY_LENGTH: usize = 60_000;

/// Arguments of `node`. The fields are named after the options of the command line.
#[derive(Args, Debug, Clone, Serialize)]
pub struct Options {
    /// The edge node's program, of this build or of an earlier one
    #[arg(long, value_name = "PATH", default_value = "target/release/edge-node")]
    pub program: PathBuf,
    /// App servers in the list, each at a loopback address of its own
    #[arg(long, value_name = "N", default_value_t = 200, value_parser = clap::value_parser!(u32).range(2..=200_000))]
    pub servers: u32,
    /// Edge nodes that the settings tell of; one of them is run
    #[arg(long, value_name = "N", default_value_t = 300, value_parser = clap::value_parser!(u32).range(1..=1_000_000))]
    pub nodes: u32,
    /// The number of the one that is run, from 0
    #[arg(long, value_name = "N", default_value_t = 0)]
    pub me: u32,
    /// Gives the list, its changes, the arrivals and the work times
    #[arg(long, value_name = "N", default_value_t = 1)]
    pub seed: u64,
    /// Requests a second
    #[arg(long, value_name = "PER_S", default_value_t = 130.0, value_parser = within(0.1..=20_000.0))]
    pub rate: f64,
    /// How requests are spaced
    #[arg(long, value_enum, default_value_t = Arrivals::Poisson)]
    pub arrivals: Arrivals,
    /// Seconds between readiness and the idle time
    #[arg(long, value_name = "S", default_value_t = 1.0, value_parser = within(0.0..=600.0))]
    pub settle_s: f64,
    /// Seconds of idle time: no requests, changes go on
    #[arg(long, value_name = "S", default_value_t = 3.0, value_parser = within(0.1..=3600.0))]
    pub idle_s: f64,
    /// Seconds of load
    #[arg(long, value_name = "S", default_value_t = 10.0, value_parser = within(0.1..=3600.0))]
    pub load_s: f64,
    /// Seconds that the node may take to be ready
    #[arg(long, value_name = "S", default_value_t = 60.0, value_parser = within(0.1..=600.0))]
    pub ready_limit_s: f64,
    /// Milliseconds that clients wait
    #[arg(long, value_name = "MS", default_value_t = 1000, value_parser = clap::value_parser!(u64).range(1..=60_000))]
    pub deadline_ms: u64,
    /// Bytes of the body of a POST
    #[arg(long, value_name = "BYTES", default_value_t = 200, value_parser = body_size)]
    pub request_bytes: usize,
    /// Bytes of the body of an answer; as many as an id has are the least
    #[arg(long, value_name = "BYTES", default_value_t = 1024, value_parser = body_size)]
    pub answer_bytes: usize,
    /// Tenants under a quota that come to this node, and as many under none
    #[arg(long, value_name = "N", default_value_t = 200, value_parser = clap::value_parser!(u32).range(1..=1_000_000_000))]
    pub tenants: u32,
    /// Share of the requests under a plan with a quota
    #[arg(long, value_name = "SHARE", default_value_t = 0.5, value_parser = within(0.0..=1.0))]
    pub quota_share: f64,
    /// Units a second of that quota
    #[arg(long, value_name = "PER_S", default_value_t = 2.0, value_parser = within(0.001..=1e6))]
    pub quota_per_s: f64,
    /// Units of that quota that may come at once
    #[arg(long, value_name = "UNITS", default_value_t = 12.0, value_parser = within(1.0..=1e6))]
    pub quota_burst: f64,
    /// Nodes that a tenant's requests come to
    #[arg(long, value_name = "N", default_value_t = 2, value_parser = clap::value_parser!(u32).range(1..=1_000_000))]
    pub spread: u32,
    /// Mean milliseconds that an app server works on a request
    #[arg(long, value_name = "MS", default_value_t = 5.0, value_parser = within(0.0..=10_000.0))]
    pub work_ms: f64,
    /// How these are spread
    #[arg(long, value_enum, default_value_t = WorkTimes::Exponential)]
    pub work_times: WorkTimes,
    /// Seconds after which an app server closes an idle connection
    #[arg(long, value_name = "S", default_value_t = 30.0, value_parser = within(0.1..=3600.0))]
    pub conn_idle_s: f64,
    /// Zones; servers are in one of them in turn
    #[arg(long, value_name = "N", default_value_t = 19, value_parser = clap::value_parser!(u32).range(1..=1000))]
    pub zones: u32,
    /// Changes of the list a second: a server starts, another drains, it is removed, in turn
    #[arg(long, value_name = "PER_S", default_value_t = 0.6, value_parser = within(0.0..=1000.0))]
    pub changes_per_s: f64,
    /// What list the node has at its start
    #[arg(long, value_enum, default_value_t = InitialList::Old)]
    pub known: InitialList,
    /// Lists are indented
    #[arg(long)]
    pub indented: bool,
    /// Bytes of a server's name
    #[arg(long, value_name = "BYTES", default_value_t = MIN_NAME_LENGTH as u16, value_parser = clap::value_parser!(u16).range(MIN_NAME_LENGTH as i64..=200))]
    pub name_length: u16,
    /// A whole list of other servers comes so many seconds into the load
    #[arg(long, value_name = "S", value_parser = within(0.0..=3600.0))]
    pub replace_at_s: Option<f64>,
    /// The agent is silent for this part of the load
    #[arg(long, value_name = "FROM..TO")]
    pub agent_silent_s: Option<Span>,
    /// How it goes on after that
    #[arg(long, value_enum, default_value_t = AgentReturn::Whole)]
    pub agent_returns: AgentReturn,
    /// The counter is silent for this part of the load
    #[arg(long, value_name = "FROM..TO")]
    pub counter_silent_s: Option<Span>,
    /// Calls a second that the counter takes; further ones get -BUSY
    #[arg(long, value_name = "PER_S", default_value_t = 800.0, value_parser = within(0.0..=1e6))]
    pub counter_per_s: f64,
    /// Milliseconds that each of its answers takes
    #[arg(long, value_name = "MS", default_value_t = 1.0, value_parser = within(0.0..=10_000.0))]
    pub counter_delay_ms: f64,
    /// Descriptors that the node is told it may hold
    #[arg(long, value_name = "N", default_value_t = 1024, value_parser = clap::value_parser!(u32).range(64..=16_384))]
    pub sockets: u32,
    /// Megabytes that the node is told it may use; not enforced
    #[arg(long, value_name = "MB", default_value_t = 192, value_parser = clap::value_parser!(u32).range(16..=8_192))]
    pub memory_mb: u32,
    /// Where the figures go.
    #[command(flatten)]
    #[serde(skip)]
    pub output: Output,
}

impl Options {
    /// Checks that the arguments make sense together.
    ///
    /// # Errors
    /// If they don't, or if the run would be too large.
    pub fn check(&self) -> Result<(), BenchError> {
        if self.me >= self.nodes {
            return refuse(format!("--me {} is none of --nodes {} numbered from 0", self.me, self.nodes));
        }
        if self.spread > self.nodes {
            return refuse(format!("--spread {} is more than --nodes {}", self.spread, self.nodes));
        }
        if self.rate * self.load_s > MAX_REQUESTS {
            return refuse(format!("--rate times --load-s is more than {MAX_REQUESTS} requests"));
        }
        let needed = self.descriptors();
        if needed > MAX_DESCRIPTORS {
            return refuse(format!(
                "--rate, --deadline-ms and --sockets may take {needed} descriptors; {MAX_DESCRIPTORS} are the most"
            ));
        }
        self.check_times()
    }

    /// Checks that all that happens under load happens before the load ends.
    fn check_times(&self) -> Result<(), BenchError> {
        let ends = [
            ("--agent-silent-s", self.agent_silent_s.map(|span| span.to_s)),
            ("--counter-silent-s", self.counter_silent_s.map(|span| span.to_s)),
            ("--replace-at-s", self.replace_at_s),
        ];
        for (name, end) in ends {
            if let Some(end) = end.filter(|end| *end > self.load_s) {
                return refuse(format!("{name} {end} is past --load-s {}", self.load_s));
            }
        }
        Ok(())
    }

    /// Descriptors that this process needs: a client's connection for each request that may be in flight at once,
    /// and the endpoints' side of the node's connections.
    pub fn descriptors(&self) -> u64 {
        let in_flight = self.rate * (self.deadline_ms as f64 / 1e3 + MAX_LATENESS.as_secs_f64());
        (IN_FLIGHT_MARGIN * in_flight) as u64 + u64::from(self.sockets) + OWN_DESCRIPTORS
    }

    /// The time limit of the whole run.
    pub fn time_limit(&self) -> Duration {
        let named_s = self.ready_limit_s + self.settle_s + self.idle_s + self.load_s;
        let named = Duration::from_secs_f64(named_s);
        named + Duration::from_millis(self.deadline_ms) + MAX_LATENESS + TIME_MARGIN
    }
}

fn refuse(reason: String) -> Result<(), BenchError> {
    Err(BenchError::Argument(reason))
}

fn body_size(text: &str) -> Result<usize, String> {
    match text.parse() {
        Ok(size) if size <= MAX_BODY_LENGTH => Ok(size),
        _ => Err(format!("expected 0 to {MAX_BODY_LENGTH} bytes")),
    }
}

/// Reads a number within bounds, both of them allowed.
fn within(
    bounds: RangeInclusive<f64>,
) -> impl Fn(&str) -> Result<f64, String> + Clone + Send + Sync + 'static {
    move |text| match text.parse() {
        Ok(number) if bounds.contains(&number) => Ok(number),
        _ => Err(format!("expected a number from {} to {}", bounds.start(), bounds.end())),
    }
}

impl Default for Options {
    /// The defaults of the command line.
    fn default() -> Self {
        #[derive(Parser)]
        struct NoArguments {
            #[command(flatten)]
            options: Options,
        }
        NoArguments::parse_from(["node"]).options
    }
}
