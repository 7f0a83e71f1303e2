//! What a fleet run consists of: its arguments, their checks and the times that follow from them.

use clap::Args;
use edge_node::decision::Micros;
use serde::Serialize;

use super::accounts::ACCOUNT_INDEX_BITS;
use super::failure_name::Failure;
use crate::error::BenchError;

/// The simulated clock starts here: not near zero, which some fields use for "long ago".
pub const CLOCK_START: Micros = 1_000_000_000;
/// The least time before a failure that service is compared with, in milliseconds.
const MIN_TIME_BEFORE_FAILURE_MS: u64 = 1_000;
/// Upper estimates of the memory that a run needs, in bytes; they only serve to refuse what cannot fit.
const BYTES_PER_LISTED_ENDPOINT: f64 = 420.0;
const BYTES_PER_NODE: f64 = 250_000.0;
const BYTES_PER_ACCOUNT: f64 = 2_500.0;

/// What is run: the fleet, its accounts, its endpoints, its network, and what fails.
///
/// The fields are named after the options of the command line, and so are they in the JSON: there accounts are
/// `customers` and endpoints `servers`.
#[derive(Args, Debug, Clone, Serialize)]
pub struct Scenario {
    /// Hollow nodes
    #[arg(long, default_value_t = 100, value_parser = clap::value_parser!(u32).range(1..=20_000))]
    pub nodes: u32,
    /// App servers
    #[arg(long, default_value_t = 800, value_parser = clap::value_parser!(u32).range(1..=100_000))]
    pub servers: u32,
    /// First tries a second over all nodes [default: 130 for each node]
    #[arg(long, value_name = "PER_S", value_parser = positive)]
    pub rate: Option<f64>,
    /// Seed of all that is drawn
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// What fails
    #[arg(long, value_enum, default_value_t = Failure::Calm)]
    pub fail: Failure,
    /// When it fails, counted from the end of the warm-up (ms)
    #[arg(long, default_value_t = 6_000, value_name = "MS", value_parser = clap::value_parser!(u64).range(0..=3_600_000))]
    pub fail_at_ms: u64,
    /// For how long (ms); a release takes this long for all its steps
    #[arg(long, default_value_t = 6_000, value_name = "MS", value_parser = clap::value_parser!(u64).range(1..=3_600_000))]
    pub fail_for_ms: u64,
    /// Simulated time before anything is measured (ms)
    #[arg(long, default_value_t = 6_000, value_name = "MS", value_parser = clap::value_parser!(u64).range(1_000..=3_600_000))]
    pub warm_ms: u64,
    /// Simulated time measured (ms)
    #[arg(long, default_value_t = 30_000, value_name = "MS", value_parser = clap::value_parser!(u64).range(1_000..=3_600_000))]
    pub measured_ms: u64,

    /// Customers for each node
    #[arg(long, default_value_t = 95.0, value_name = "COUNT", value_parser = positive)]
    pub customers_per_node: f64,
    /// Share of the load that customers under a quota ask
    #[arg(long, default_value_t = 0.5, value_name = "SHARE", value_parser = share)]
    pub quota_share: f64,
    /// Nodes of a customer's set
    #[arg(long, default_value_t = 2, value_name = "NODES", value_parser = clap::value_parser!(u32).range(1..=1_000))]
    pub spread: u32,
    /// Tries of a client for one request
    #[arg(long, default_value_t = 3, value_name = "TRIES", value_parser = clap::value_parser!(u32).range(1..=20))]
    pub client_tries: u32,
    /// How late the front sees that a node has vanished (ms); it sees at once that a process is gone
    #[arg(long, default_value_t = 2_000, value_name = "MS", value_parser = clap::value_parser!(u64).range(0..=60_000))]
    pub front_notice_ms: u64,

    /// Cores of a server
    #[arg(long, default_value_t = 2.0, value_name = "CORES", value_parser = positive)]
    pub cores: f64,
    /// Requests that a server works on at once
    #[arg(long, default_value_t = 16, value_name = "REQUESTS", value_parser = clap::value_parser!(u32).range(1..=10_000))]
    pub slots: u32,
    /// Requests that wait at a server beyond these; more are turned away
    #[arg(long, default_value_t = 32, value_name = "REQUESTS", value_parser = clap::value_parser!(u32).range(0..=100_000))]
    pub queue: u32,
    /// Mean work of a request (ms of one core)
    #[arg(long, default_value_t = 60.0, value_name = "MS", value_parser = positive)]
    pub work_ms: f64,
    /// Share of the work that is drawn, exponentially; the rest is the same for each request
    #[arg(long, default_value_t = 1.0, value_name = "SHARE", value_parser = share)]
    pub work_spread: f64,
    /// What a new connection costs its server (us of one core)
    #[arg(long, default_value_t = 2_000, value_name = "US", value_parser = clap::value_parser!(u64).range(0..=1_000_000))]
    pub handshake_us: u64,
    /// An idle connection is closed after this (ms)
    #[arg(long, default_value_t = 30_000, value_name = "MS", value_parser = clap::value_parser!(u64).range(1..=3_600_000))]
    pub idle_close_ms: u64,
    /// A connection may take so long to come up (ms)
    #[arg(long, default_value_t = 250, value_name = "MS", value_parser = clap::value_parser!(u64).range(1..=10_000))]
    pub connect_ms: u64,
    /// Share of its capacity that a cold server starts with
    #[arg(long, default_value_t = 0.2, value_name = "SHARE", value_parser = share)]
    pub cold_from: f64,
    /// How long it takes to be warm (ms)
    #[arg(long, default_value_t = 15_000, value_name = "MS", value_parser = clap::value_parser!(u64).range(0..=600_000))]
    pub cold_ms: u64,
    /// A cold server falls when sent this many times its capacity
    #[arg(long, default_value_t = 2.5, value_name = "TIMES", value_parser = positive)]
    pub fall_multiple: f64,
    /// For so long (ms)
    #[arg(long, default_value_t = 1_500, value_name = "MS", value_parser = clap::value_parser!(u64).range(1..=60_000))]
    pub tip_after_ms: u64,

    /// Calls that the counter does a second, over all its parts [default: two for each request]
    #[arg(long, value_name = "PER_S", value_parser = positive)]
    pub counter_calls_per_s: Option<f64>,
    /// Parts of the counter; each name lies on one of them
    #[arg(long, default_value_t = 1, value_name = "PARTS", value_parser = clap::value_parser!(u32).range(1..=10_000))]
    pub counter_parts: u32,
    /// Calls that wait at a part; more are answered with -BUSY
    #[arg(long, default_value_t = 1_000, value_name = "CALLS", value_parser = clap::value_parser!(u32).range(0..=1_000_000))]
    pub counter_queue: u32,
    /// One way between any node and the counter (us)
    #[arg(long, default_value_t = 500, value_name = "US", value_parser = clap::value_parser!(u64).range(0..=1_000_000))]
    pub counter_delay_us: u64,

    /// Regions
    #[arg(long, default_value_t = 6, value_name = "REGIONS", value_parser = clap::value_parser!(u32).range(1..=1_000))]
    pub regions: u32,
    /// Zones, dealt out to the regions in turn; nodes are dealt out to the zones, servers in the same proportion
    #[arg(long, default_value_t = 19, value_name = "ZONES", value_parser = clap::value_parser!(u32).range(1..=1_000))]
    pub zones: u32,
    /// One way within a zone (us)
    #[arg(long, default_value_t = 150, value_name = "US", value_parser = clap::value_parser!(u64).range(0..=1_000_000))]
    pub delay_zone_us: u64,
    /// One way between zones of a region (us)
    #[arg(long, default_value_t = 500, value_name = "US", value_parser = clap::value_parser!(u64).range(0..=1_000_000))]
    pub delay_region_us: u64,
    /// One way between regions (us)
    #[arg(long, default_value_t = 20_000, value_name = "US", value_parser = clap::value_parser!(u64).range(0..=1_000_000))]
    pub delay_far_us: u64,
    /// Price of an attempt that crosses zones, as the settings tell the nodes
    #[arg(long, default_value_t = 0.0, value_name = "PRICE", value_parser = not_negative)]
    pub cross_zone_price: f64,

    /// Mean delay of a list change to a node (ms), drawn for each change and node
    #[arg(long, default_value_t = 500, value_name = "MS", value_parser = clap::value_parser!(u64).range(0..=600_000))]
    pub list_delay_ms: u64,
    /// The most that it is delayed (ms)
    #[arg(long, default_value_t = 4_000, value_name = "MS", value_parser = clap::value_parser!(u64).range(0..=600_000))]
    pub list_delay_most_ms: u64,
    /// How late discovery misses a server that vanished or fell (ms)
    #[arg(long, default_value_t = 3_000, value_name = "MS", value_parser = clap::value_parser!(u64).range(0..=600_000))]
    pub detect_ms: u64,
    /// Share of the list that is wrong when a node starts again: servers that are gone, and as many left out
    #[arg(long, default_value_t = 0.05, value_name = "SHARE", value_parser = share)]
    pub old_list_share: f64,
    /// How long a node takes to start again (ms): drawn from half of it to half as much again
    #[arg(long, default_value_t = 1_000, value_name = "MS", value_parser = clap::value_parser!(u64).range(1..=600_000))]
    pub boot_ms: u64,
    /// Share of the servers in the rack that fails
    #[arg(long, default_value_t = 0.02, value_name = "SHARE", value_parser = share)]
    pub rack_share: f64,
    /// Share of the servers that a release replaces
    #[arg(long, default_value_t = 0.5, value_name = "SHARE", value_parser = share)]
    pub release_share: f64,
    /// Steps of a release
    #[arg(long, default_value_t = 10, value_name = "STEPS", value_parser = clap::value_parser!(u32).range(1..=1_000))]
    pub release_steps: u32,

    /// Nodes of the whole fleet, which the run is a share of
    #[arg(long, default_value_t = 5_700, value_name = "NODES", value_parser = clap::value_parser!(u32).range(1..))]
    pub whole_nodes: u32,
    /// App servers of the whole fleet
    #[arg(long, default_value_t = 46_000, value_name = "SERVERS", value_parser = clap::value_parser!(u32).range(1..))]
    pub whole_servers: u32,
    /// Requests a second of the whole fleet
    #[arg(long, default_value_t = 740_000.0, value_name = "PER_S", value_parser = positive)]
    pub whole_rate: f64,
    /// A run that would clearly need more memory is refused (MB)
    #[arg(long, default_value_t = 4_000, value_name = "MB", value_parser = clap::value_parser!(u32).range(16..=12_000))]
    pub memory_most_mb: u32,
    /// Leave out what the machine took (memory, wall time): the JSON is the same each time then
    #[arg(long)]
    pub simulated_only: bool,
}

impl Scenario {
    /// Requests a second over all nodes, not counting retries.
    pub fn total_rate(&self) -> f64 {
        self.rate.unwrap_or(130.0 * f64::from(self.nodes))
    }

    /// Calls a second that the counter service can serve.
    pub fn counter_rate(&self) -> f64 {
        self.counter_calls_per_s.unwrap_or(2.0 * self.total_rate())
    }

    /// How many accounts there are.
    pub fn account_count(&self) -> usize {
        (self.customers_per_node * f64::from(self.nodes)).round().max(1.0) as usize
    }

    /// When the measured time starts.
    pub fn measured_from(&self) -> Micros {
        CLOCK_START + self.warm_ms * 1_000
    }

    /// When the measured time ends: requests that are sent later are not counted.
    pub fn measured_until(&self) -> Micros {
        self.measured_from() + self.measured_ms * 1_000
    }

    /// Whether a time lies within the measured time.
    pub fn is_measured(&self, at: Micros) -> bool {
        at >= self.measured_from() && at < self.measured_until()
    }

    /// When the failure starts.
    pub fn failure_starts_at(&self) -> Micros {
        self.measured_from() + self.fail_at_ms * 1_000
    }

    /// Checks that the arguments make sense together.
    ///
    /// # Errors
    /// If they contradict each other, or if the run would need too much memory.
    pub fn check(&self) -> Result<(), BenchError> {
        self.check_topology()?;
        self.check_failure_time()?;
        self.check_size()
    }

    fn check_topology(&self) -> Result<(), BenchError> {
        if self.regions > self.zones {
            return refuse(format!("--regions {} is more than --zones {}", self.regions, self.zones));
        }
        Ok(())
    }

    fn check_failure_time(&self) -> Result<(), BenchError> {
        if self.fail == Failure::Calm {
            return Ok(());
        }
        if self.fail_at_ms >= self.measured_ms {
            let why = "--fail-at-ms has to lie within --measured-ms";
            return refuse(format!("{why} ({} is not under {})", self.fail_at_ms, self.measured_ms));
        }
        if self.fail_at_ms < MIN_TIME_BEFORE_FAILURE_MS {
            return refuse("--fail-at-ms has to leave a second before the failure to compare with".into());
        }
        Ok(())
    }

    fn check_size(&self) -> Result<(), BenchError> {
        let nodes = f64::from(self.nodes);
        let accounts = nodes * self.customers_per_node;
        let max_accounts = 1 << ACCOUNT_INDEX_BITS;
        if accounts > f64::from(max_accounts) {
            return refuse(format!("{accounts:.0} customers are more than {max_accounts}"));
        }
        let bytes_per_node = f64::from(self.servers) * BYTES_PER_LISTED_ENDPOINT + BYTES_PER_NODE;
        let needed_mb = (nodes * bytes_per_node + accounts * BYTES_PER_ACCOUNT) / 1e6;
        if needed_mb > f64::from(self.memory_most_mb) {
            let limit = self.memory_most_mb;
            return refuse(format!("about {needed_mb:.0} MB would be needed, over --memory-most-mb {limit}"));
        }
        Ok(())
    }
}

fn refuse(reason: String) -> Result<(), BenchError> {
    Err(BenchError::Argument(reason))
}

fn parse_number(text: &str, is_valid: fn(f64) -> bool, expected: &str) -> Result<f64, String> {
    match text.parse::<f64>() {
        Ok(number) if number.is_finite() && is_valid(number) => Ok(number),
        _ => Err(expected.to_string()),
    }
}

fn positive(text: &str) -> Result<f64, String> {
    parse_number(text, |number| number > 0.0 && number <= 1e9, "a number above 0, at most 1e9")
}

fn not_negative(text: &str) -> Result<f64, String> {
    parse_number(text, |number| (0.0..=1e9).contains(&number), "a number from 0 to 1e9")
}

fn share(text: &str) -> Result<f64, String> {
    parse_number(text, |number| (0.0..=1.0).contains(&number), "a share from 0 to 1")
}
