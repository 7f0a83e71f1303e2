//! Hollow nodes on one simulated clock, before model app servers and one model counter.
//!
//! Each hollow node is a real decision module with real settings; what its process would do with sockets is
//! modelled. One ordered queue holds all events, so the same seed and arguments give the same figures.

use std::time::Instant;

use clap::Args;
use serde::Serialize;

use crate::error::RigError;
use crate::memory::Memory;
use crate::report::{Output, Report};

mod counter;
mod customers;
mod faults;
mod figures;
mod queue;
mod server;
mod world;

pub use faults::Fail;

/// After the time measured the world runs on until its last requests are over: the longest deadline and more.
const DRAIN: u64 = 3_500_000;
/// What a hollow node takes for each server on its list, and beside that, in bytes; and a customer. Generous:
/// they only serve to refuse what would surely not fit.
const SERVER_BYTES: f64 = 420.0;
const NODE_BYTES: f64 = 250_000.0;
const CUSTOMER_BYTES: f64 = 2_500.0;

/// Arguments of `fleet`.
#[derive(Args, Debug, Clone, Serialize)]
pub struct Options {
    /// What is run.
    #[command(flatten)]
    #[serde(flatten)]
    pub scenario: Box<Scenario>,
    /// Where the figures go.
    #[command(flatten)]
    #[serde(skip)]
    pub output: Output,
}

/// What is run: the fleet, its customers, its servers, its network, and what fails.
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
    #[arg(long, value_enum, default_value_t = Fail::Calm)]
    pub fail: Fail,
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
    /// First tries a second over all nodes.
    fn total_rate(&self) -> f64 {
        self.rate.unwrap_or(130.0 * f64::from(self.nodes))
    }

    /// Calls that the counter does a second.
    fn counter_rate(&self) -> f64 {
        self.counter_calls_per_s.unwrap_or(2.0 * self.total_rate())
    }

    /// What the arguments can't mean together.
    fn check(&self) -> Result<(), RigError> {
        let refuse = |why: String| Err(RigError::Argument(why));
        if self.regions > self.zones {
            return refuse(format!("--regions {} is more than --zones {}", self.regions, self.zones));
        }
        if self.fail != Fail::Calm && self.fail_at_ms >= self.measured_ms {
            let why = "--fail-at-ms has to lie within --measured-ms";
            return refuse(format!("{why} ({} is not under {})", self.fail_at_ms, self.measured_ms));
        }
        if self.fail != Fail::Calm && self.fail_at_ms < 1_000 {
            return refuse("--fail-at-ms has to leave a second before the failure to compare with".into());
        }
        let (nodes, servers) = (f64::from(self.nodes), f64::from(self.servers));
        let customers = nodes * self.customers_per_node;
        // The largest number that a customer has on the wire holds so many.
        if customers > f64::from(1 << 20) {
            return refuse(format!("{customers:.0} customers are more than {}", 1 << 20));
        }
        let bytes = nodes * (servers * SERVER_BYTES + NODE_BYTES) + customers * CUSTOMER_BYTES;
        let needed = bytes / 1e6;
        if needed > f64::from(self.memory_most_mb) {
            let most = self.memory_most_mb;
            return refuse(format!("about {needed:.0} MB would be needed, over --memory-most-mb {most}"));
        }
        Ok(())
    }
}

fn number(text: &str, fits: fn(f64) -> bool, what: &str) -> Result<f64, String> {
    text.parse::<f64>().ok().filter(|n| n.is_finite() && fits(*n)).ok_or_else(|| what.to_string())
}

fn positive(text: &str) -> Result<f64, String> {
    number(text, |n| n > 0.0 && n <= 1e9, "a number above 0, at most 1e9")
}

fn not_negative(text: &str) -> Result<f64, String> {
    number(text, |n| (0.0..=1e9).contains(&n), "a number from 0 to 1e9")
}

fn share(text: &str) -> Result<f64, String> {
    number(text, |n| (0.0..=1.0).contains(&n), "a share from 0 to 1")
}

/// Makes the run and tells its figures.
pub fn run(options: Options) -> Result<(), RigError> {
    measure(&options.scenario)?.tell(&options.output)
}

/// Makes the run and gives its figures.
pub fn measure(options: &Scenario) -> Result<Report, RigError> {
    options.check()?;
    let arguments = serde_json::to_value(options)
        .map_err(|e| RigError::System { what: "cannot write the arguments", source: e.into() })?;
    let mut report = Report::new("fleet", arguments);
    let begun = Instant::now();
    let mut world = world::World::new(options);
    let empty = Memory::own()?.resident;
    world.start();
    let until = world.stop_at() + DRAIN;
    world.run(until, true);
    let warm = Memory::own()?.resident;
    world.run(until, false);
    figures::tell(&world, &mut report);
    if !options.simulated_only {
        let node = (warm as f64 - empty as f64).max(0.0) / f64::from(options.nodes);
        report.add("memory_per_hollow_node", node, "bytes");
        let spent = begun.elapsed().as_secs_f64();
        report.add("wall_time", spent, "s");
        let requests = report.get("requests").unwrap_or(0.0).max(1.0);
        report.add(
            "wall_time_per_request",
            spent * 1e6 / requests,
            "us of wall time, all of the model in it",
        );
    }
    notes(options, &mut report);
    Ok(report)
}

fn notes(options: &Scenario, report: &mut Report) {
    let percent = |part: f64, of: f64| part / of * 100.0;
    let (nodes, servers, rate) = (f64::from(options.nodes), f64::from(options.servers), options.total_rate());
    let (whole_nodes, whole_servers) = (f64::from(options.whole_nodes), f64::from(options.whole_servers));
    report.notes.push(format!(
        "share of the whole fleet: {:.2}% of {} nodes, {:.2}% of {} app servers, {:.2}% of {} requests a second; \
         {:.2} app servers a node here and {:.2} there, {:.0} requests a second at a node here and {:.0} there",
        percent(nodes, whole_nodes),
        options.whole_nodes,
        percent(servers, whole_servers),
        options.whole_servers,
        percent(rate, options.whole_rate),
        options.whole_rate,
        servers / nodes,
        whole_servers / whole_nodes,
        rate / nodes,
        options.whole_rate / whole_nodes,
    ));
    report.notes.push(
        "at one ratio of app servers to nodes and one rate a node, shares, calls and handshakes a request and the \
         load of a server carry over; what does not: the counter's calls a second grow with all requests, the \
         list's length and each node's memory with all app servers, a list change is sent to all nodes, and a \
         failure of one rack, zone or region is a smaller share of more of them"
            .into(),
    );
    if options.counter_calls_per_s.is_none() {
        report.notes.push("the counter was given ample capacity, two calls for each request".into());
    }
    report.notes.push(
        "service: for each customer the units served inside its quota, up to those asked inside it, over all \
         customers; the exact bucket that no node sees tells what is inside; service_before, service_least: the \
         share of the requests that were inside the quota when first asked and that were served in the end"
            .into(),
    );
    report.notes.push(
        "the counter is equally far from all nodes (--counter-delay-us), though regions are --delay-far-us apart; \
         clients reach their node without delay; the subset knows nothing of zones and regions"
            .into(),
    );
    if !options.simulated_only {
        report.notes.push(
            "memory_per_hollow_node: growth of the resident size over the warm-up, over the nodes; it holds the \
             decision module, its idle connections' bookkeeping and the model's requests under way, and none of a \
             real process's sockets, buffers or code"
                .into(),
        );
    }
}
