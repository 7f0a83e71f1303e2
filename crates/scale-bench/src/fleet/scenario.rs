//! The arguments of a fleet run, their checks, and the values that are derived from them.

use clap::Args;
use edge_node::decision::Micros;
use serde::Serialize;

use super::accounts::ACCOUNT_INDEX_BITS;
use super::fleet_failure::FleetFailure;
use crate::error::BenchError;

/// Time at which the simulated clock starts. It is far from 0, because some fields use 0 for "long ago".
pub const CLOCK_START: Micros = 1_000_000_000;
/// Minimum time between the end of the warm-up and a failure, in milliseconds. It is needed because the
/// service after the failure is compared with the service before it.
const MIN_TIME_BEFORE_FAILURE_MS: u64 = 1_000;
/// Upper estimate of the memory for one endpoint at one node, in bytes. This and the other estimates only
/// serve to reject runs that can't fit into memory.
const BYTES_PER_LISTED_ENDPOINT: f64 = 420.0;
/// Upper estimate of the memory for a node without its endpoints, in bytes.
const BYTES_PER_NODE: f64 = 250_000.0;
/// Upper estimate of the memory for an account, in bytes.
const BYTES_PER_ACCOUNT: f64 = 2_500.0;

/// The arguments of a run: the nodes, accounts, endpoints, counter service, network and endpoint list to
/// simulate, and the failure.
///
/// Each field has the name of its command-line option and of its JSON member. These names call endpoints
/// `servers`, and accounts `customers`.
#[derive(Args, Debug, Clone, Serialize)]
pub struct Scenario {
    /// Number of hollow nodes
    #[arg(long, default_value_t = 100, value_parser = clap::value_parser!(u32).range(1..=20_000))]
    pub nodes: u32,
    /// Number of endpoints (app servers)
    #[arg(long, default_value_t = 800, value_parser = clap::value_parser!(u32).range(1..=100_000))]
    pub servers: u32,
    /// Requests per second over all nodes, without clients' retries [default: 130 for each node]
    #[arg(long, value_name = "PER_S", value_parser = positive)]
    pub rate: Option<f64>,
    /// Seed of all random draws
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// The failure to simulate
    #[arg(long, value_enum, default_value_t = FleetFailure::Calm)]
    pub fail: FleetFailure,
    /// Milliseconds from the end of the warm-up to the start of the failure
    #[arg(long, default_value_t = 6_000, value_name = "MS", value_parser = clap::value_parser!(u64).range(0..=3_600_000))]
    pub fail_at_ms: u64,
    /// Duration of the failure, in milliseconds; for a release, the time over which its steps are spread
    #[arg(long, default_value_t = 6_000, value_name = "MS", value_parser = clap::value_parser!(u64).range(1..=3_600_000))]
    pub fail_for_ms: u64,
    /// Simulated warm-up time before the measured time, in milliseconds
    #[arg(long, default_value_t = 6_000, value_name = "MS", value_parser = clap::value_parser!(u64).range(1_000..=3_600_000))]
    pub warm_ms: u64,
    /// Simulated time that is measured, in milliseconds
    #[arg(long, default_value_t = 30_000, value_name = "MS", value_parser = clap::value_parser!(u64).range(1_000..=3_600_000))]
    pub measured_ms: u64,

    /// Number of accounts (customers) per node
    #[arg(long, default_value_t = 95.0, value_name = "COUNT", value_parser = positive)]
    pub customers_per_node: f64,
    /// Share of the requests that accounts with a quota send, and the probability that an account has a quota
    #[arg(long, default_value_t = 0.5, value_name = "SHARE", value_parser = share)]
    pub quota_share: f64,
    /// Number of nodes that receive an account's requests
    #[arg(long, default_value_t = 2, value_name = "NODES", value_parser = clap::value_parser!(u32).range(1..=1_000))]
    pub spread: u32,
    /// Maximum number of tries that a client makes for one request
    #[arg(long, default_value_t = 3, value_name = "TRIES", value_parser = clap::value_parser!(u32).range(1..=20))]
    pub client_tries: u32,
    /// Milliseconds until the front, which spreads requests over the nodes, notices that a node is
    /// unresponsive; it notices at once that a node's process has exited
    #[arg(long, default_value_t = 2_000, value_name = "MS", value_parser = clap::value_parser!(u64).range(0..=60_000))]
    pub front_notice_ms: u64,

    /// Number of cores of an endpoint
    #[arg(long, default_value_t = 2.0, value_name = "CORES", value_parser = positive)]
    pub cores: f64,
    /// Maximum number of requests that an endpoint runs at once
    #[arg(long, default_value_t = 16, value_name = "REQUESTS", value_parser = clap::value_parser!(u32).range(1..=10_000))]
    pub slots: u32,
    /// Maximum number of requests that wait in an endpoint's queue; it rejects further requests
    #[arg(long, default_value_t = 32, value_name = "REQUESTS", value_parser = clap::value_parser!(u32).range(0..=100_000))]
    pub queue: u32,
    /// Mean work of a request, in milliseconds of one core
    #[arg(long, default_value_t = 60.0, value_name = "MS", value_parser = positive)]
    pub work_ms: f64,
    /// Share of the work that is drawn from an exponential distribution; the rest is the same for each
    /// request
    #[arg(long, default_value_t = 1.0, value_name = "SHARE", value_parser = share)]
    pub work_spread: f64,
    /// Work of an endpoint for each new connection, in microseconds of one core
    #[arg(long, default_value_t = 2_000, value_name = "US", value_parser = clap::value_parser!(u64).range(0..=1_000_000))]
    pub handshake_us: u64,
    /// Milliseconds after which an idle connection is closed
    #[arg(long, default_value_t = 30_000, value_name = "MS", value_parser = clap::value_parser!(u64).range(1..=3_600_000))]
    pub idle_close_ms: u64,
    /// Longest time to establish a connection, in milliseconds
    #[arg(long, default_value_t = 250, value_name = "MS", value_parser = clap::value_parser!(u64).range(1..=10_000))]
    pub connect_ms: u64,
    /// Share of its full capacity that an endpoint has right after its start
    #[arg(long, default_value_t = 0.2, value_name = "SHARE", value_parser = share)]
    pub cold_from: f64,
    /// Milliseconds that an endpoint takes to warm up after its start
    #[arg(long, default_value_t = 15_000, value_name = "MS", value_parser = clap::value_parser!(u64).range(0..=600_000))]
    pub cold_ms: u64,
    /// An endpoint that is warming up fails if it is sent more than this many times its current capacity
    /// (plus an allowance for chance)
    #[arg(long, default_value_t = 2.5, value_name = "TIMES", value_parser = positive)]
    pub fall_multiple: f64,
    /// Time over which the load of --fall-multiple is measured, in milliseconds
    #[arg(long, default_value_t = 1_500, value_name = "MS", value_parser = clap::value_parser!(u64).range(1..=60_000))]
    pub tip_after_ms: u64,

    /// Calls per second that the counter service can serve, over all its parts [default: two for each
    /// request]
    #[arg(long, value_name = "PER_S", value_parser = positive)]
    pub counter_calls_per_s: Option<f64>,
    /// Number of parts of the counter service; each counter belongs to one part
    #[arg(long, default_value_t = 1, value_name = "PARTS", value_parser = clap::value_parser!(u32).range(1..=10_000))]
    pub counter_parts: u32,
    /// Maximum number of calls that wait at a part; it rejects further calls with -BUSY
    #[arg(long, default_value_t = 1_000, value_name = "CALLS", value_parser = clap::value_parser!(u32).range(0..=1_000_000))]
    pub counter_queue: u32,
    /// One-way delay between any node and the counter service, in microseconds
    #[arg(long, default_value_t = 500, value_name = "US", value_parser = clap::value_parser!(u64).range(0..=1_000_000))]
    pub counter_delay_us: u64,

    /// Number of regions
    #[arg(long, default_value_t = 6, value_name = "REGIONS", value_parser = clap::value_parser!(u32).range(1..=1_000))]
    pub regions: u32,
    /// Number of zones; zones are assigned to the regions in turn, nodes to the zones in turn, and endpoints
    /// to the zones in proportion to the nodes
    #[arg(long, default_value_t = 19, value_name = "ZONES", value_parser = clap::value_parser!(u32).range(1..=1_000))]
    pub zones: u32,
    /// One-way delay within a zone, in microseconds
    #[arg(long, default_value_t = 150, value_name = "US", value_parser = clap::value_parser!(u64).range(0..=1_000_000))]
    pub delay_zone_us: u64,
    /// One-way delay between zones of one region, in microseconds
    #[arg(long, default_value_t = 500, value_name = "US", value_parser = clap::value_parser!(u64).range(0..=1_000_000))]
    pub delay_region_us: u64,
    /// One-way delay between regions, in microseconds
    #[arg(long, default_value_t = 20_000, value_name = "US", value_parser = clap::value_parser!(u64).range(0..=1_000_000))]
    pub delay_far_us: u64,
    /// Cost of an attempt that crosses zones, relative to a first attempt, as set in the nodes' settings
    #[arg(long, default_value_t = 0.0, value_name = "PRICE", value_parser = non_negative)]
    pub cross_zone_price: f64,

    /// Mean delay until a change of the endpoint list reaches a node, in milliseconds; drawn for each change
    /// and node
    #[arg(long, default_value_t = 500, value_name = "MS", value_parser = clap::value_parser!(u64).range(0..=600_000))]
    pub list_delay_ms: u64,
    /// Longest delay that is drawn for a change of the endpoint list, in milliseconds
    #[arg(long, default_value_t = 4_000, value_name = "MS", value_parser = clap::value_parser!(u64).range(0..=600_000))]
    pub list_delay_most_ms: u64,
    /// Milliseconds until discovery detects that an endpoint has failed
    #[arg(long, default_value_t = 3_000, value_name = "MS", value_parser = clap::value_parser!(u64).range(0..=600_000))]
    pub detect_ms: u64,
    /// Share of stale entries in a restarted node's endpoint list; each replaces the entry of a current
    /// endpoint by that of one that no longer exists
    #[arg(long, default_value_t = 0.05, value_name = "SHARE", value_parser = share)]
    pub old_list_share: f64,
    /// Mean time that a node takes to start again, in milliseconds; drawn evenly from 0.5 to 1.5 times this
    /// value
    #[arg(long, default_value_t = 1_000, value_name = "MS", value_parser = clap::value_parser!(u64).range(1..=600_000))]
    pub boot_ms: u64,
    /// Share of the endpoints that are in the failing rack
    #[arg(long, default_value_t = 0.02, value_name = "SHARE", value_parser = share)]
    pub rack_share: f64,
    /// Share of the endpoints that a release replaces
    #[arg(long, default_value_t = 0.5, value_name = "SHARE", value_parser = share)]
    pub release_share: f64,
    /// Number of steps of a release
    #[arg(long, default_value_t = 10, value_name = "STEPS", value_parser = clap::value_parser!(u32).range(1..=1_000))]
    pub release_steps: u32,

    /// Number of nodes of the whole fleet; the notes state which share of it the run simulates
    #[arg(long, default_value_t = 5_700, value_name = "NODES", value_parser = clap::value_parser!(u32).range(1..))]
    pub whole_nodes: u32,
    /// Number of endpoints of the whole fleet
    #[arg(long, default_value_t = 46_000, value_name = "SERVERS", value_parser = clap::value_parser!(u32).range(1..))]
    pub whole_servers: u32,
    /// Requests per second of the whole fleet
    #[arg(long, default_value_t = 740_000.0, value_name = "PER_S", value_parser = positive)]
    pub whole_rate: f64,
    /// Memory limit, in megabytes; a run that is estimated to need more is rejected
    #[arg(long, default_value_t = 4_000, value_name = "MB", value_parser = clap::value_parser!(u32).range(16..=12_000))]
    pub memory_most_mb: u32,
    /// Omit the memory and wall-time figures, so that equal arguments yield identical JSON
    #[arg(long)]
    pub simulated_only: bool,
}

impl Scenario {
    /// Returns the request rate over all nodes in requests/s, not counting retries.
    pub fn total_rate(&self) -> f64 {
        self.rate.unwrap_or(130.0 * f64::from(self.nodes))
    }

    /// Returns the capacity of the counter service in calls/s.
    pub fn counter_rate(&self) -> f64 {
        self.counter_calls_per_s.unwrap_or(2.0 * self.total_rate())
    }

    /// Returns the number of accounts, at least 1.
    pub fn account_count(&self) -> usize {
        (self.customers_per_node * f64::from(self.nodes)).round().max(1.0) as usize
    }

    /// Returns when the measured time starts, which is the end of the warm-up.
    pub fn measured_from(&self) -> Micros {
        CLOCK_START + self.warm_ms * 1_000
    }

    /// Returns when the measured time ends. Requests that are first sent then or later are not counted.
    pub fn measured_until(&self) -> Micros {
        self.measured_from() + self.measured_ms * 1_000
    }

    /// Returns whether `at` lies within the measured time.
    pub fn is_measured(&self, at: Micros) -> bool {
        at >= self.measured_from() && at < self.measured_until()
    }

    /// Returns when the failure starts.
    pub fn failure_starts_at(&self) -> Micros {
        self.measured_from() + self.fail_at_ms * 1_000
    }

    /// Checks the arguments against each other and against the memory limit.
    ///
    /// # Errors
    /// Returns an error if the arguments contradict each other, if there are too many accounts, or if the run
    /// would need more memory than `memory_most_mb`.
    pub fn check(&self) -> Result<(), BenchError> {
        self.check_topology()?;
        self.check_failure_time()?;
        self.check_size()
    }

    fn check_topology(&self) -> Result<(), BenchError> {
        if self.regions > self.zones {
            return argument_error(format!(
                "--regions {} must not be more than --zones {}",
                self.regions, self.zones
            ));
        }
        Ok(())
    }

    fn check_failure_time(&self) -> Result<(), BenchError> {
        if self.fail == FleetFailure::Calm {
            return Ok(());
        }
        if self.fail_at_ms >= self.measured_ms {
            let why = "--fail-at-ms must be less than --measured-ms";
            return argument_error(format!(
                "{why}: got {} with --measured-ms {}",
                self.fail_at_ms, self.measured_ms
            ));
        }
        if self.fail_at_ms < MIN_TIME_BEFORE_FAILURE_MS {
            return argument_error(
                "--fail-at-ms must be at least 1000: service is compared with the time before the failure"
                    .into(),
            );
        }
        Ok(())
    }

    fn check_size(&self) -> Result<(), BenchError> {
        let nodes = f64::from(self.nodes);
        let accounts = nodes * self.customers_per_node;
        let max_accounts = 1 << ACCOUNT_INDEX_BITS;
        if accounts > f64::from(max_accounts) {
            return argument_error(format!(
                "--nodes times --customers-per-node is {accounts:.0}, over the limit of {max_accounts}"
            ));
        }
        let bytes_per_node = f64::from(self.servers) * BYTES_PER_LISTED_ENDPOINT + BYTES_PER_NODE;
        let needed_mb = (nodes * bytes_per_node + accounts * BYTES_PER_ACCOUNT) / 1e6;
        if needed_mb > f64::from(self.memory_most_mb) {
            let limit = self.memory_most_mb;
            return argument_error(format!(
                "the run needs about {needed_mb:.0} MB, which exceeds --memory-most-mb {limit}"
            ));
        }
        Ok(())
    }
}

fn argument_error(reason: String) -> Result<(), BenchError> {
    Err(BenchError::Argument(reason))
}

/// Parses a finite number that `is_valid` accepts.
///
/// # Errors
/// Returns `expected` for any other text.
fn parse_number(text: &str, is_valid: fn(f64) -> bool, expected: &str) -> Result<f64, String> {
    match text.parse::<f64>() {
        Ok(number) if number.is_finite() && is_valid(number) => Ok(number),
        _ => Err(expected.to_string()),
    }
}

fn positive(text: &str) -> Result<f64, String> {
    parse_number(text, |number| number > 0.0 && number <= 1e9, "expected a number above 0 and at most 1e9")
}

fn non_negative(text: &str) -> Result<f64, String> {
    parse_number(text, |number| (0.0..=1e9).contains(&number), "expected a number from 0 to 1e9")
}

fn share(text: &str) -> Result<f64, String> {
    parse_number(text, |number| (0.0..=1.0).contains(&number), "expected a share from 0 to 1")
}
