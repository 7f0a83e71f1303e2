//! One real edge node process before stand-ins of all its peers.

pub mod clients;
mod process;
mod settings;

use std::future::Future;
use std::io::BufWriter;
use std::io::Write;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use clap::{Args, Parser, ValueEnum};
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use serde::Serialize;
use tempfile::NamedTempFile;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{signal, SignalKind};
use tokio::time::{interval_at, sleep, sleep_until, timeout, Instant};

use self::clients::{load, Plan, Tally};
use self::process::{EdgeNode, Process, Usage};
use self::settings::Config;
use crate::error::BenchError;
use crate::report::{Output, Report};
use crate::stand_ins::agent::Agent;
use crate::stand_ins::app_servers::{AppServers, Work};
use crate::stand_ins::counter::{Counter, Service};
use crate::stand_ins::list::{ServerList, Shape, Told, NAME_LEAST};
use crate::stand_ins::{mix, Bytes};

/// Changes that the agent has seen since the list that the node knows at its start.
const CHANGES_BEFORE: u32 = 9;
/// Requests of one run, for which some memory is kept each.
const REQUESTS_MOST: f64 = 5e6;
/// Descriptors for listeners, files and runtimes, and how many more requests than their mean may be open at once.
const DESCRIPTORS_OF_ITS_OWN: u64 = 64;
const DESCRIPTOR_SPARE: f64 = 1.25;
/// Descriptors that no run takes more of.
const DESCRIPTORS_MOST: u64 = 16_000;
/// What a run may take beyond the times that its arguments name.
const SPARE: Duration = Duration::from_secs(15);
/// Threads that serve clients and app servers, and those that serve the agent and the counter. Danger: a whole list
/// takes a thread some tens of milliseconds, which must not hold up an answer that is measured.
const DATA_THREADS: usize = 2;
const CONTROL_THREADS: usize = 1;

/// How requests are spaced.
#[derive(ValueEnum, Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Arrivals {
    /// Each independent of the others.
    Poisson,
    /// All alike.
    Even,
}

/// How work times at app servers are spread.
#[derive(ValueEnum, Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum WorkTimes {
    /// Exponentially.
    Exponential,
    /// All are the mean.
    Fixed,
}

/// What list the node has at its start.
#[derive(ValueEnum, Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Known {
    /// The agent's own: nothing is new
    Current,
    /// One a few changes old, told as changes
    Stale,
    /// One so old that the agent tells the whole list
    Old,
    /// None: the agent tells the whole list
    None,
}

/// How an agent that was silent goes on.
#[derive(ValueEnum, Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Return {
    /// With the whole list
    Whole,
    /// With the changes missed
    Changes,
}

/// A span of the loaded time, in seconds from its start, such as `2..5`.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Span {
    /// Its begin.
    pub from_s: f64,
    /// Its end.
    pub to_s: f64,
}

impl FromStr for Span {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let span = text
            .split_once("..")
            .and_then(|(from, to)| Some(Span { from_s: from.parse().ok()?, to_s: to.parse().ok()? }));
        let usable = |s: &Span| s.from_s >= 0.0 && s.from_s < s.to_s && s.to_s <= 3600.0;
        span.filter(usable).ok_or_else(|| "expected FROM..TO in seconds, such as 2..5".into())
    }
}

/// A number within bounds, both of them allowed.
fn within(
    bounds: RangeInclusive<f64>,
) -> impl Fn(&str) -> Result<f64, String> + Clone + Send + Sync + 'static {
    move |text| {
        let number = text.parse().ok().filter(|number| bounds.contains(number));
        number.ok_or_else(|| format!("expected a number from {} to {}", bounds.start(), bounds.end()))
    }
}

/// Arguments of `node`.
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
    #[arg(long, value_enum, default_value_t = Known::Old)]
    pub known: Known,
    /// Lists are indented
    #[arg(long)]
    pub indented: bool,
    /// Bytes of a server's name
    #[arg(long, value_name = "BYTES", default_value_t = NAME_LEAST as u16, value_parser = clap::value_parser!(u16).range(NAME_LEAST as i64..=200))]
    pub name_length: u16,
    /// A whole list of other servers comes so many seconds into the load
    #[arg(long, value_name = "S", value_parser = within(0.0..=3600.0))]
    pub replace_at_s: Option<f64>,
    /// The agent is silent for this part of the load
    #[arg(long, value_name = "FROM..TO")]
    pub agent_silent_s: Option<Span>,
    /// How it goes on after that
    #[arg(long, value_enum, default_value_t = Return::Whole)]
    pub agent_returns: Return,
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

fn body_size(text: &str) -> Result<usize, String> {
    text.parse().ok().filter(|size| *size <= 60_000).ok_or_else(|| "expected 0 to 60000 bytes".into())
}

impl Default for Options {
    /// What the command line defaults to.
    fn default() -> Self {
        #[derive(Parser)]
        struct Empty {
            #[command(flatten)]
            options: Options,
        }
        Empty::parse_from(["node"]).options
    }
}

impl Options {
    /// What no single argument shows: whether they fit together.
    fn check(&self) -> Result<(), BenchError> {
        let wrong = |text: String| Err(BenchError::Argument(text));
        if self.me >= self.nodes {
            return wrong(format!("--me {} is none of --nodes {} numbered from 0", self.me, self.nodes));
        }
        if self.spread > self.nodes {
            return wrong(format!("--spread {} is more than --nodes {}", self.spread, self.nodes));
        }
        if self.rate * self.load_s > REQUESTS_MOST {
            return wrong(format!("--rate times --load-s is more than {REQUESTS_MOST} requests"));
        }
        let needed = self.descriptors();
        if needed > DESCRIPTORS_MOST {
            return wrong(format!(
                "--rate, --deadline-ms and --sockets may take {needed} descriptors; {DESCRIPTORS_MOST} are the most"
            ));
        }
        let spans =
            [("--agent-silent-s", self.agent_silent_s), ("--counter-silent-s", self.counter_silent_s)];
        let ends = spans.iter().filter_map(|(name, span)| span.map(|s| (*name, s.to_s)));
        let ends = ends.chain(self.replace_at_s.map(|at| ("--replace-at-s", at)));
        if let Some((name, end)) = { ends }.find(|(_, end)| *end > self.load_s) {
            return wrong(format!("{name} {end} is past --load-s {}", self.load_s));
        }
        Ok(())
    }

    /// Descriptors that the rig needs: a client's connection for each request that may be open at once, and the app
    /// servers' ends of the node's.
    fn descriptors(&self) -> u64 {
        let open = self.rate * (self.deadline_ms as f64 / 1e3 + clients::LATE_MOST.as_secs_f64());
        (DESCRIPTOR_SPARE * open) as u64 + u64::from(self.sockets) + DESCRIPTORS_OF_ITS_OWN
    }

    fn overall(&self) -> Duration {
        let named = self.ready_limit_s + self.settle_s + self.idle_s + self.load_s;
        seconds(named) + Duration::from_millis(self.deadline_ms) + clients::LATE_MOST + SPARE
    }
}

/// Lets this process hold so many descriptors, if the machine permits it.
fn allow_descriptors(needed: u64) -> Result<(), BenchError> {
    let limit = getrlimit(Resource::Nofile);
    if limit.current.is_none_or(|current| current >= needed) {
        return Ok(());
    }
    if limit.maximum.is_some_and(|maximum| maximum < needed) {
        let text =
            format!("--rate and --deadline-ms may take {needed} descriptors, more than this machine permits");
        return Err(BenchError::Argument(text));
    }
    setrlimit(Resource::Nofile, Rlimit { current: Some(needed), ..limit })
        .map_err(|e| BenchError::System { what: "cannot raise the limit of descriptors", source: e.into() })
}

fn seconds(number: f64) -> Duration {
    Duration::from_secs_f64(number)
}

/// Makes the run and tells its figures.
pub fn run(options: Options) -> Result<(), BenchError> {
    measure(&options)?.print(&options.output)
}

/// Makes the run. Its peers and the edge node's process end with it.
pub fn measure(options: &Options) -> Result<Report, BenchError> {
    options.check()?;
    allow_descriptors(options.descriptors())?;
    let (data, control) = (runtime(DATA_THREADS)?, runtime(CONTROL_THREADS)?);
    let result = data.block_on(play(options, &control));
    data.shutdown_background();
    control.shutdown_background();
    result
}

fn runtime(threads: usize) -> Result<Runtime, BenchError> {
    let built = Builder::new_multi_thread().worker_threads(threads).enable_all().build();
    built.map_err(|source| BenchError::System { what: "cannot start threads", source })
}

/// A future that comes back when the rig is told to end. Danger: without it a signal would end the rig at once and
/// leave the edge node's process behind.
fn interrupted() -> Result<impl Future<Output = BenchError>, BenchError> {
    let listen = |kind| {
        signal(kind).map_err(|source| BenchError::System { what: "cannot listen for signals", source })
    };
    let (mut interrupt, mut terminate) = (listen(SignalKind::interrupt())?, listen(SignalKind::terminate())?);
    Ok(async move {
        tokio::select! {
            _ = interrupt.recv() => {}
            _ = terminate.recv() => {}
        }
        BenchError::EdgeNode("the run was interrupted".into())
    })
}

/// The stand-ins of a run.
struct Peers {
    agent: Arc<Agent>,
    counter: Arc<Counter>,
    servers: Arc<AppServers>,
}

/// What the edge node and its peers say at one moment.
struct Reading {
    usage: Usage,
    agent: Bytes,
    counter: Bytes,
    at: Instant,
}

impl Reading {
    fn new(edge: &EdgeNode, peers: &Peers) -> Result<Reading, BenchError> {
        let (agent, counter) = (peers.agent.traffic(), peers.counter.traffic());
        Ok(Reading { usage: edge.usage()?, agent, counter, at: Instant::now() })
    }
}

async fn on<T: Send + 'static>(
    runtime: &Runtime,
    what: &'static str,
    work: impl Future<Output = std::io::Result<T>> + Send + 'static,
) -> Result<T, BenchError> {
    let done = runtime.spawn(work).await.unwrap_or_else(|e| Err(e.into()));
    done.map_err(|source| BenchError::System { what, source })
}

async fn play(options: &Options, control: &Runtime) -> Result<Report, BenchError> {
    let plan = Plan::new(options);
    let work = Work {
        seed: mix(options.seed, 4),
        mean: seconds(options.work_ms / 1e3),
        exponential: options.work_times == WorkTimes::Exponential,
        body: options.answer_bytes,
        idle: seconds(options.conn_idle_s),
    };
    let (servers, port) = AppServers::start(work, plan.requests().len() as u32).map_err(|source| {
        BenchError::System { what: "cannot listen for app servers on the loopback device alone", source }
    })?;
    let mut list = ServerList::new(Shape {
        servers: options.servers,
        seed: options.seed,
        zones: options.zones,
        name_length: options.name_length.into(),
        port,
    });
    let known = known(&mut list, options.known);
    let (agent, agent_at) =
        on(control, "cannot listen for the agent", Agent::start(list, options.indented)).await?;
    let service = Service { per_s: options.counter_per_s, delay: seconds(options.counter_delay_ms / 1e3) };
    let (counter, counter_at) = on(control, "cannot listen for the counter", Counter::start(service)).await?;
    let list_bytes = agent
        .whole_text()
        .map_err(|e| BenchError::System { what: "cannot write the list", source: e.into() })?;
    let peers = Peers { agent, counter, servers };

    let config = Config::new(options, agent_at, counter_at, known);
    let file = write(&config)?;
    drop(config);
    changes(options, control, &peers);
    let (limit, overall) = (seconds(options.ready_limit_s), options.overall());
    let interrupted = interrupted()?;
    let (mut process, starting) = Process::start(&options.program, file.path())?;
    let figures = async {
        let edge = starting.listens(limit).await?;
        let mut report = report(options);
        report.add("ready_s", edge.ready(limit).await?.as_secs_f64(), "s");
        report.add("list_bytes", list_bytes.len() as f64, "bytes");
        report.add("agent_out_bytes_at_ready", peers.agent.traffic().sent as f64, "bytes");
        steps(options, control, &edge, &peers, plan, work, &mut report).await?;
        Ok(report)
    };
    let result = tokio::select! {
        result = timeout(overall, figures) => result.unwrap_or_else(|_| {
            Err(BenchError::EdgeNode(format!("the run has taken over {overall:?}")))
        }),
        error = process.ended() => Err(error),
        error = interrupted => Err(error),
    };
    // On every way out, and waited for.
    process.kill().await;
    result
}

/// Makes the list that the node knows; the agent's is as much newer as was asked.
fn known(list: &mut ServerList, known: Known) -> Told {
    let mut told = list.whole();
    match known {
        Known::Current => {}
        Known::Stale => (0..CHANGES_BEFORE).for_each(|_| list.change(0)),
        Known::Old => {
            (0..CHANGES_BEFORE).for_each(|_| list.change(0));
            list.forget();
        }
        Known::None => told = Told { index: 0, snapshot: true, endpoints: Vec::new() },
    }
    told
}

fn write(config: &Config) -> Result<NamedTempFile, BenchError> {
    let in_temp = |source| BenchError::File { path: std::env::temp_dir().display().to_string(), source };
    let mut file = NamedTempFile::new().map_err(in_temp)?;
    let mut buffered = BufWriter::new(&mut file);
    serde_json::to_writer(&mut buffered, config).map_err(|e| in_temp(e.into()))?;
    buffered.flush().map_err(in_temp)?;
    drop(buffered);
    Ok(file)
}

/// Changes the list at its rate from now on, for as long as the runtime lives.
fn changes(options: &Options, control: &Runtime, peers: &Peers) {
    if options.changes_per_s <= 0.0 {
        return;
    }
    let (agent, period) = (peers.agent.clone(), seconds(1.0 / options.changes_per_s));
    control.spawn(async move {
        let mut ticks = interval_at(Instant::now() + period, period);
        loop {
            ticks.tick().await;
            agent.change();
        }
    });
}

/// What is to happen under load.
fn events(options: &Options, control: &Runtime, peers: &Peers, start: Instant) {
    if let Some(at) = options.replace_at_s {
        let agent = peers.agent.clone();
        control.spawn(async move {
            sleep_until(start + seconds(at)).await;
            agent.update(ServerList::replace_all);
        });
    }
    if let Some(span) = options.agent_silent_s {
        let (agent, returns) = (peers.agent.clone(), options.agent_returns);
        control.spawn(async move {
            sleep_until(start + seconds(span.from_s)).await;
            agent.silence(true);
            sleep_until(start + seconds(span.to_s)).await;
            if returns == Return::Whole {
                agent.update(ServerList::forget);
            }
            agent.silence(false);
        });
    }
    if let Some(span) = options.counter_silent_s {
        let counter = peers.counter.clone();
        control.spawn(async move {
            sleep_until(start + seconds(span.from_s)).await;
            counter.silence(true);
            sleep_until(start + seconds(span.to_s)).await;
            counter.silence(false);
        });
    }
}

/// The idle time and the load, and their figures.
async fn steps(
    options: &Options,
    control: &Runtime,
    edge: &EdgeNode,
    peers: &Peers,
    plan: Plan,
    work: Work,
    report: &mut Report,
) -> Result<(), BenchError> {
    sleep(seconds(options.settle_s)).await;
    let before_idle = Reading::new(edge, peers)?;
    sleep(seconds(options.idle_s)).await;
    let idle = Reading::new(edge, peers)?;

    let (calls_before, busy_before) = peers.counter.calls();
    let (whole_before, changes_before) = peers.agent.told();
    let rig_before = Usage::of(std::process::id())?;
    let start = Instant::now();
    events(options, control, peers, start);
    let over = async {
        sleep_until(start + seconds(options.load_s)).await;
        let rig = Usage::of(std::process::id())?;
        Ok((Reading::new(edge, peers)?, rig))
    };
    let sending = load(plan, edge.address, options, peers.servers.clone(), work);
    let (tally, (loaded, rig)) = tokio::try_join!(sending, over)?;

    report.add("cpu_idle_percent", idle.usage.percent_since(&before_idle.usage), "% of a core");
    report.add("cpu_loaded_percent", loaded.usage.percent_since(&idle.usage), "% of a core");
    if let Some(waited) = loaded.usage.waited_percent_since(&idle.usage) {
        report.add("cpu_wait_loaded_percent", waited, "% of the time");
    }
    report.add("rss_idle_mb", megabytes(idle.usage.memory.resident), "MB");
    report.add("rss_mb", megabytes(loaded.usage.memory.resident), "MB");
    report.add("peak_mb", megabytes(edge.usage()?.memory.peak), "MB");
    traffic(report, "idle", &before_idle, &idle);
    traffic(report, "loaded", &idle, &loaded);
    let (whole, changes) = peers.agent.told();
    report.add("whole_lists_loaded", (whole - whole_before) as f64, "");
    report.add("change_lists_loaded", (changes - changes_before) as f64, "");

    service(report, &tally);
    let sent = (tally.sent as f64).max(1.0);
    let (calls, busy) = peers.counter.calls();
    report.add("counter_calls_per_request", (calls - calls_before) as f64 / sent, "");
    report.add("counter_busy", (busy - busy_before) as f64, "");
    let counts = peers.servers.counts();
    report.add("attempts_per_request", tally.attempts as f64 / sent, "");
    report.add("handshakes", counts.connections as f64, "");
    report.add("handshakes_per_request", counts.connections as f64 / sent, "");
    report.add("probes", counts.probes as f64, "");
    report.add("servers_used", counts.used as f64, "");
    report.add("strange_requests", counts.strange as f64, "");
    report.add("log_lines", edge.log_lines() as f64, "");
    report.add("rig_late_p99_ms", milliseconds(tally.sent_late.value_at_quantile(0.99)), "ms");
    report.add("rig_late_max_ms", milliseconds(tally.sent_late.max()), "ms");
    report.add("rig_cpu_percent", rig.percent_since(&rig_before), "% of a core");
    Ok(())
}

/// The control traffic between two readings: bytes that TCP carried, by peer and direction as that peer sees it.
fn traffic(report: &mut Report, when: &str, from: &Reading, to: &Reading) {
    let span = to.at.duration_since(from.at).as_secs_f64().max(1e-9);
    let rate = |from: u64, to: u64| (to - from) as f64 / span;
    let rates = [
        ("agent_in", rate(from.agent.received, to.agent.received)),
        ("agent_out", rate(from.agent.sent, to.agent.sent)),
        ("counter_in", rate(from.counter.received, to.counter.received)),
        ("counter_out", rate(from.counter.sent, to.counter.sent)),
    ];
    for (name, rate) in rates {
        report.add(&format!("{name}_bytes_per_s_{when}"), rate, "bytes/s");
    }
    let all = rates.iter().map(|(_, rate)| rate).sum();
    report.add(&format!("control_bytes_per_s_{when}"), all, "bytes/s");
}

/// What became of the requests, and the latency added.
fn service(report: &mut Report, tally: &Tally) {
    let counts = [
        ("requests", tally.sent),
        ("answered_200", tally.served),
        ("answered_429", tally.too_many),
        ("answered_503", tally.unavailable),
        ("answered_other", tally.other),
        ("wrong_body", tally.wrong_body),
        ("answered_late", tally.late),
        ("lost", tally.lost),
        ("connection_errors", tally.broken),
        ("sent_again", tally.again),
        ("client_connections", tally.connections),
    ];
    counts.into_iter().for_each(|(name, count)| report.add(name, count as f64, ""));
    if !tally.added.is_empty() {
        for (name, quantile) in [("p50", 0.5), ("p99", 0.99), ("p99.9", 0.999)] {
            let value = tally.added.value_at_quantile(quantile);
            report.add(&format!("added_{name}_ms"), milliseconds(value), "ms");
        }
        report.add("added_max_ms", milliseconds(tally.added.max()), "ms");
        for (name, quantile) in [("p50", 0.5), ("p99", 0.99)] {
            let value = tally.added_from_sent.value_at_quantile(quantile);
            report.add(&format!("added_from_sent_{name}_ms"), milliseconds(value), "ms");
        }
    }
}

fn report(options: &Options) -> Report {
    let arguments = serde_json::to_value(options).unwrap_or_default();
    let mut report = Report::new("node", arguments);
    let notes = [
        "latency added: from when a request was due to its answer, less its app server's own time; of all that \
         were served, however late, and of the lost, which count with the time they were waited for",
        "added_from_sent: the same without what the clients were late by (rig_late), which on a busy machine is the \
         rig's own; no client waits for another's answer, so it is free of coordinated omission, too",
        "lost: no answer by a second after the deadline; late: an answer between the deadline and then",
        "cpu_wait_loaded_percent: the node could have run and had no processor; where it or rig_late_p99_ms is not \
         small, the machine was too busy for latencies to say anything",
        "bytes are those that TCP carries, without its headers, in and out as the peer sees them",
        "handshakes, probes and servers used are of the whole run; calls, attempts and outcomes of the load",
    ];
    report.notes.extend(notes.map(String::from));
    report
}

fn megabytes(bytes: u64) -> f64 {
    bytes as f64 / 1e6
}

fn milliseconds(micros: u64) -> f64 {
    micros as f64 / 1e3
}
