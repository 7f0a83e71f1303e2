//! What the decision module takes for a request, a tick and a list, alone: no sockets, a simulated clock.
//!
//! Danger: this file is also built over earlier versions of the module (README), so it uses only what they
//! share: `DecisionEngine::new` and `handle`, and the types of `interface`.

use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::os::unix::fs::FileExt;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use clap::Args;
use edge_node::decision::DecisionEngine;
use edge_node::decision::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

use crate::error::BenchError;
use crate::memory::Memory;
use crate::report::{Output, Report};
use crate::slopes::child;

const SECOND: Micros = 1_000_000;
/// The clock at the start: late enough that servers can have started a day ago.
const START: Micros = 100_000 * SECOND;
const COUNTER_TIME: Micros = 1_000;
/// Zones of the coming size, and cells in each.
const ZONES: u32 = 19;
const CELLS: u32 = 4;
/// One-entry changes that are timed after the load has ended: during it come too few for a median.
const CHANGES: usize = 60;
/// What is out is answered within this once no more requests come.
const REST: Micros = 2 * SECOND;

/// Arguments of `decisions`.
#[derive(Args, Debug, Clone, Serialize)]
pub struct Options {
    /// App servers on the list
    #[arg(long, default_value_t = 200, value_parser = clap::value_parser!(u32).range(1..=200_000))]
    pub servers: u32,
    /// Edge nodes of the fleet, as the settings tell
    #[arg(long, default_value_t = 300, value_parser = clap::value_parser!(u32).range(1..=100_000))]
    pub nodes: u32,
    /// This node's number; by default drawn from the seed
    #[arg(long)]
    pub me: Option<u32>,
    /// Seed of the servers' numbers, the requests and their answers
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Requests a second
    #[arg(long, default_value_t = 130.0)]
    pub rate: f64,
    /// Share of the requests that are under a quota
    #[arg(long, default_value_t = 0.5)]
    pub quota_share: f64,
    /// Customers under a quota, and as many without one
    #[arg(long, default_value_t = 200, value_parser = clap::value_parser!(u32).range(1..=1_000_000))]
    pub customers: u32,
    /// Mean time of an app server's answer, in ms
    #[arg(long, default_value_t = 50.0)]
    pub answer_ms: f64,
    /// List changes of one entry a second
    #[arg(long, default_value_t = 0.6)]
    pub changes_per_s: f64,
    /// Simulated seconds before anything is timed
    #[arg(long, default_value_t = 2.0)]
    pub warm_up_s: f64,
    /// Simulated seconds that are timed
    #[arg(long, default_value_t = 8.0)]
    pub run_s: f64,
    /// Whole lists that are timed: so many unchanged, and so many that replace all servers
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u32).range(1..=1_000))]
    pub whole_lists: u32,
    /// A run that takes longer than this, in seconds, fails
    #[arg(long, default_value_t = 300.0)]
    pub limit_s: f64,
    /// Another build of this rig, run alternately with this one; the ratio of the figures is told
    #[arg(long, value_name = "PROGRAM")]
    pub beside: Option<PathBuf>,
    /// App servers of the other build's runs; by default the same
    #[arg(long, requires = "beside", value_parser = clap::value_parser!(u32).range(1..=200_000))]
    pub beside_servers: Option<u32>,
    /// Edge nodes of the other build's runs; by default the same
    #[arg(long, requires = "beside", value_parser = clap::value_parser!(u32).range(1..=100_000))]
    pub beside_nodes: Option<u32>,
    /// Rounds of both builds, with a seed each
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u32).range(3..=100))]
    pub rounds: u32,
    /// Where the figures go.
    #[command(flatten)]
    #[serde(skip)]
    pub output: Output,
}

/// Makes the run and tells its figures.
pub fn run(options: Options) -> Result<(), BenchError> {
    options.check()?;
    let report = match &options.beside {
        Some(program) => beside(&options, program)?,
        None => measure(&options)?,
    };
    report.print(&options.output)
}

impl Options {
    fn check(&self) -> Result<(), BenchError> {
        let within = |name: &str, value: f64, least: f64, most: f64| {
            let fits = (least..=most).contains(&value);
            let text = || BenchError::Argument(format!("--{name} {value} is not within {least} to {most}"));
            fits.then_some(()).ok_or_else(text)
        };
        within("rate", self.rate, 0.1, 100_000.0)?;
        within("quota-share", self.quota_share, 0.0, 1.0)?;
        within("answer-ms", self.answer_ms, 0.1, 1_000.0)?;
        within("changes-per-s", self.changes_per_s, 0.0, 1_000.0)?;
        within("warm-up-s", self.warm_up_s, 0.0, 600.0)?;
        within("run-s", self.run_s, 0.1, 600.0)?;
        within("limit-s", self.limit_s, 0.1, 3_600.0)?;
        match self.me {
            Some(me) if me >= self.nodes => {
                Err(BenchError::Argument(format!("--me {me} is no node of {}", self.nodes)))
            }
            _ => Ok(()),
        }
    }

    fn settings(&self, me: u32) -> Settings {
        let class = |effect, on_time: Micros, credit| RequestClass {
            latency_objective: on_time * 1_000,
            total_timeout: 2 * SECOND,
            idempotency: effect,
            deduplication_scope: DeduplicationScope::Cell,
            deduplication_window: SECOND,
            priority_weight: credit,
            ..RequestClass::default()
        };
        // Most stay within their quota: it is three times what a customer asks at its two nodes.
        let quota_rate = 6.0 * self.rate * self.quota_share / f64::from(self.customers);
        let burst = (6.0 * quota_rate).max(12.0);
        let free = Plan { weight_factor: 1.0, ..Plan::default() };
        Settings {
            node_index: me,
            node_count: self.nodes,
            zone: me % ZONES,
            batch_interval: 2_000,
            clients_mark_retries: true,
            max_request_units: 3.0,
            cross_zone_cost: 0.05,
            classes: vec![
                class(Idempotency::Safe, 500, 1.0),
                class(Idempotency::Keyed, 800, 2.0),
                class(Idempotency::NonIdempotent, 800, 2.0),
            ],
            plans: vec![
                free.clone(),
                Plan { quota_units_per_second: quota_rate, burst_units: burst, over_quota_cost: 1.0, ..free },
            ],
            limits: Limits {
                cancel_allowed: true,
                probes_allowed: true,
                retry_after_allowed: true,
                max_retry_after: 2 * SECOND,
                max_attempts: 3,
                connect_timeout: 100_000,
            },
            counter: CounterSettings { enabled: true, timeout: 30_000 },
            warm_up: WarmUp {
                initial_fraction: 0.2,
                duration: 15 * SECOND,
                overload_multiple: 2.5,
                overload_duration: 3 * SECOND / 2,
            },
            ..Settings::default()
        }
    }
}

/// What is timed by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Kind {
    FirstList,
    Request,
    /// A request or a counter's answer that sent an attempt: here a server is chosen.
    Decision,
    Counted,
    Answer,
    Tick,
    Change,
    WholeSame,
    WholeOther,
}

impl Kind {
    const ALL: [Kind; 9] = [
        Kind::FirstList,
        Kind::Request,
        Kind::Decision,
        Kind::Counted,
        Kind::Answer,
        Kind::Tick,
        Kind::Change,
        Kind::WholeSame,
        Kind::WholeOther,
    ];

    fn name(self) -> &'static str {
        match self {
            Kind::FirstList => "first_list",
            Kind::Request => "request",
            Kind::Decision => "decision",
            Kind::Counted => "counted",
            Kind::Answer => "answer",
            Kind::Tick => "tick",
            Kind::Change => "change",
            Kind::WholeSame => "whole_same",
            Kind::WholeOther => "whole_other",
        }
    }
}

/// What happens next on the simulated clock.
enum Next {
    Arrival,
    Change,
    Timer(u64),
    Counted(CounterKey, f64),
    Answer { id: RequestId, attempt: u32, server: EndpointId, sent: Micros, outcome: Outcome },
    Probed(EndpointId),
}

/// How long this thread has waited for a processor that others had.
struct Queued(Option<File>);

impl Queued {
    /// Danger: a machine that runs other work stops a thread for milliseconds, many times what an event takes,
    /// and the means would tell of the machine alone. Where the kernel does not tell this, nothing is taken off.
    fn new() -> Self {
        Queued(File::open("/proc/thread-self/schedstat").ok())
    }

    fn get(&self) -> Option<Duration> {
        let mut text = [0; 96];
        let read = self.0.as_ref()?.read_at(&mut text, 0).ok()?;
        let text = std::str::from_utf8(&text[..read]).ok()?;
        text.split_whitespace().nth(1)?.parse().ok().map(Duration::from_nanos)
    }
}

/// The node and all that it meets.
struct Model<'a> {
    options: &'a Options,
    node: DecisionEngine,
    random: StdRng,
    queued: Queued,
    now: Micros,
    ends: Instant,
    /// What is to come, by time and then in the order in which it was planned.
    queue: BTreeMap<(Micros, u64), Next>,
    planned: u64,
    loaded: bool,
    list: Vec<EndpointEntry>,
    numbers: BTreeSet<u32>,
    /// The server that is leaving, in its steps.
    leaving: Option<EndpointEntry>,
    totals: BTreeMap<CounterKey, f64>,
    attempts: BTreeMap<RequestId, u32>,
    asked: u64,
    /// Whether what happens now is timed.
    timed: bool,
    spent: BTreeMap<Kind, Vec<Duration>>,
    counts: BTreeMap<&'static str, u64>,
    used: BTreeSet<EndpointId>,
}

impl<'a> Model<'a> {
    fn new(options: &'a Options) -> (Self, u32) {
        let mut random = StdRng::seed_from_u64(options.seed);
        let drawn = random.random_range(0..options.nodes);
        let me = options.me.unwrap_or(drawn);
        let mut model = Model {
            options,
            node: DecisionEngine::new(options.seed, options.settings(me)),
            random,
            queued: Queued::new(),
            now: START,
            ends: Instant::now() + Duration::from_secs_f64(options.limit_s),
            queue: BTreeMap::new(),
            planned: 0,
            loaded: false,
            list: Vec::new(),
            numbers: BTreeSet::new(),
            leaving: None,
            totals: BTreeMap::new(),
            attempts: BTreeMap::new(),
            asked: 0,
            timed: false,
            spent: BTreeMap::new(),
            counts: ["answered", "refused", "failed", "cancelled", "counter_calls"].map(|k| (k, 0)).into(),
            used: BTreeSet::new(),
        };
        model.replace_list();
        (model, me)
    }

    /// A server under a number that none had before.
    fn member(&mut self, started: Micros) -> EndpointEntry {
        // Danger: earlier versions hold 32-bit numbers, so both get these.
        let number = loop {
            let number: u32 = self.random.random();
            if self.numbers.insert(number) {
                break number;
            }
        };
        let cell = self.random.random_range(0..ZONES * CELLS);
        EndpointEntry {
            id: EndpointId(number.into()),
            zone: cell / CELLS,
            cell,
            weight: [1.0, 1.0, 2.0][self.random.random_range(0..3)],
            started_at: started,
            ..EndpointEntry::default()
        }
    }

    fn replace_list(&mut self) {
        self.list = Vec::new();
        for _ in 0..self.options.servers {
            let age = self.random.random_range(60..86_400) * SECOND;
            let member = self.member(self.now - age);
            self.list.push(member);
        }
    }

    fn plan(&mut self, after: Micros, next: Next) {
        self.planned += 1;
        self.queue.insert((self.now + after, self.planned), next);
    }

    fn exponential(&mut self, rate: f64) -> Micros {
        let lot: f64 = self.random.random();
        (-(1.0 - lot).ln() / rate * SECOND as f64) as Micros
    }

    /// Hands the node an event, takes the time of it and does what the node asks for.
    fn handle(&mut self, kind: Option<Kind>, event: Event) {
        let mut actions = Vec::new();
        let before = self.queued.get();
        let begun = Instant::now();
        self.node.handle(self.now, event, &mut actions);
        let spent = begun.elapsed();
        let queued = self
            .queued
            .get()
            .zip(before)
            .map_or(Duration::ZERO, |(after, before)| after.saturating_sub(before));
        // A wait as long as all of it came between the clocks' readings, and is not in it.
        let spent = if queued < spent { spent - queued } else { spent };
        if let Some(kind) = kind.filter(|_| self.timed) {
            self.spent.entry(kind).or_default().push(spent);
            let sends = actions.iter().filter(|a| matches!(a, Action::StartAttempt { .. })).count() as u32;
            if sends > 0 && matches!(kind, Kind::Request | Kind::Counted) {
                self.spent.entry(Kind::Decision).or_default().push(spent / sends);
            }
        }
        actions.into_iter().for_each(|action| self.act(action));
    }

    fn count(&mut self, name: &'static str) {
        if self.timed {
            *self.counts.entry(name).or_default() += 1;
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::StartAttempt { request: id, endpoint: server, .. } => {
                if self.timed {
                    self.used.insert(server);
                }
                let attempts = self.attempts.entry(id.clone()).or_default();
                let attempt = *attempts;
                *attempts += 1;
                let mean = self.options.answer_ms * 1_000.0;
                let after = mean * self.random.random_range(0.5..1.5);
                let sent = self.now;
                self.plan(after as Micros, Next::Answer { id, attempt, server, sent, outcome: Outcome::Ok });
            }
            Action::Reject { request: id, .. } => {
                self.count("refused");
                self.attempts.remove(&id);
            }
            Action::Fail { request: id } => {
                self.count("failed");
                self.attempts.remove(&id);
            }
            Action::CancelAttempt { request: id, attempt_number: attempt } => {
                self.count("cancelled");
                // Its answer may still be planned; the node then knows that this attempt has ended.
                let EndpointId(none) = EndpointId::default();
                let (server, sent) = (EndpointId(none), self.now);
                self.plan(0, Next::Answer { id, attempt, server, sent, outcome: Outcome::Cancelled });
            }
            Action::IncrementCounter { key: name, amount, .. } => {
                self.count("counter_calls");
                let total = self.totals.entry(name).or_default();
                *total += amount;
                let total = *total;
                self.plan(COUNTER_TIME, Next::Counted(name, total));
            }
            Action::SetTimer { id, after } => self.plan(after, Next::Timer(id)),
            Action::ProbeEndpoint { endpoint: server } => self.plan(COUNTER_TIME, Next::Probed(server)),
            // The list is given in full at the start, and changes as it does.
            Action::FetchEndpoints | Action::WatchEndpoints => {}
        }
    }

    /// Lets time pass.
    fn pass(&mut self, span: Micros) -> Result<(), BenchError> {
        let until = self.now + span;
        while let Some(entry) = self.queue.first_entry().filter(|e| e.key().0 <= until) {
            let ((at, _), next) = entry.remove_entry();
            self.now = at;
            self.step(next);
            if Instant::now() > self.ends {
                let text = format!("the run took longer than --limit-s {}", self.options.limit_s);
                return Err(BenchError::Argument(text));
            }
        }
        self.now = until;
        Ok(())
    }

    fn step(&mut self, next: Next) {
        match next {
            Next::Arrival if self.loaded => {
                let again = self.exponential(self.options.rate);
                self.plan(again, Next::Arrival);
                let request = self.request();
                self.handle(Some(Kind::Request), Event::RequestReceived(request));
            }
            Next::Change if self.loaded => {
                let again = self.exponential(self.options.changes_per_s);
                self.plan(again, Next::Change);
                self.change();
            }
            Next::Arrival | Next::Change => {}
            Next::Timer(id) => self.handle(Some(Kind::Tick), Event::TimerFired { id }),
            Next::Counted(name, total) => {
                self.handle(
                    Some(Kind::Counted),
                    Event::CounterReplied { key: name, outcome: Outcome::Ok, total },
                );
            }
            Next::Answer { id, attempt, server, sent, outcome } => {
                let finished = outcome == Outcome::Ok;
                if finished && self.attempts.remove(&id).is_some() {
                    self.count("answered");
                }
                let spent = self.now - sent;
                let end = EndedAttempt {
                    request: id,
                    attempt_number: attempt,
                    endpoint: server,
                    outcome,
                    elapsed: spent,
                    request_completed: finished,
                    final_units: None,
                };
                self.handle(Some(Kind::Answer), Event::AttemptEnded(end));
            }
            Next::Probed(server) => {
                self.handle(None, Event::ProbeCompleted { endpoint: server, outcome: Outcome::Ok })
            }
        }
    }

    fn request(&mut self) -> NewRequest {
        self.asked += 1;
        let quota = self.random.random_bool(self.options.quota_share);
        let customer = self.random.random_range(0..u64::from(self.options.customers));
        NewRequest {
            id: RequestId::from(format!("r{}", self.asked).as_str()),
            account: AccountId(2 * customer + u64::from(quota)),
            class: [0, 0, 0, 1, 2][self.random.random_range(0..5)],
            plan: usize::from(quota),
            units: f64::from(self.random.random_range(1..=3_u8)),
            first_account_node: 0,
            account_node_count: 2,
            is_retry: false,
            deadline: self.now + 2 * SECOND,
        }
    }

    /// One entry: a server drains, then it is gone, then a new one comes in its place.
    fn change(&mut self) {
        let entry = match self.leaving.take() {
            None => {
                let at = self.random.random_range(0..self.list.len());
                let entry = EndpointEntry { state: EndpointState::Draining, ..self.list.swap_remove(at) };
                self.leaving = Some(entry.clone());
                entry
            }
            Some(m) if m.state == EndpointState::Draining => {
                let entry = EndpointEntry { state: EndpointState::Removed, ..m };
                self.leaving = Some(entry.clone());
                entry
            }
            Some(_) => {
                let entry = self.member(self.now);
                self.list.push(entry.clone());
                entry
            }
        };
        let entries = vec![entry];
        self.handle(Some(Kind::Change), Event::EndpointsUpdated { kind: EndpointUpdateKind::Delta, entries });
    }

    fn whole(&mut self, kind: Kind) {
        let entries = self.list.clone();
        self.handle(Some(kind), Event::EndpointsUpdated { kind: EndpointUpdateKind::Snapshot, entries });
    }

    fn median(&self, kind: Kind) -> Spread {
        Spread::of(self.spent.get(&kind).map_or(&[], Vec::as_slice))
    }

    fn total(&self, kinds: &[Kind]) -> f64 {
        let spent = kinds.iter().filter_map(|kind| self.spent.get(kind)).flatten();
        spent.sum::<Duration>().as_secs_f64()
    }
}

/// Times of one kind of event, in microseconds.
struct Spread {
    count: usize,
    p50: f64,
    p99: f64,
    mean: f64,
}

impl Spread {
    fn of(times: &[Duration]) -> Spread {
        let mut times: Vec<f64> = times.iter().map(|t| t.as_secs_f64() * 1e6).collect();
        times.sort_by(f64::total_cmp);
        let rank = |share: f64| (share * times.len() as f64).ceil().max(1.0) as usize - 1;
        let at = |share| times.get(rank(share)).copied().unwrap_or(0.0);
        let mean = times.iter().sum::<f64>() / times.len().max(1) as f64;
        Spread { count: times.len(), p50: at(0.5), p99: at(0.99), mean }
    }
}

/// One run in this process.
fn measure(options: &Options) -> Result<Report, BenchError> {
    let before = resident()?;
    let (mut model, me) = Model::new(options);
    let listed = resident()?;
    model.timed = true;
    model.whole(Kind::FirstList);
    model.timed = false;
    let known = resident()?;
    model.loaded = true;
    model.plan(0, Next::Arrival);
    if options.changes_per_s > 0.0 {
        let after = model.exponential(options.changes_per_s);
        model.plan(after, Next::Change);
    }
    model.pass((options.warm_up_s * SECOND as f64) as Micros)?;
    model.timed = true;
    let asked = model.asked;
    model.pass((options.run_s * SECOND as f64) as Micros)?;
    let requests = (model.asked - asked).max(1) as f64;
    let paths = [Kind::Request, Kind::Counted, Kind::Answer];
    let (path, tick, change) =
        (model.total(&paths), model.total(&[Kind::Tick]), model.total(&[Kind::Change]));
    let loaded = resident()?;
    let (used, counts) = (model.used.len(), model.counts.clone());
    (model.timed, model.loaded) = (false, false);
    model.pass(REST)?;
    for _ in 0..CHANGES {
        model.timed = true;
        model.change();
        model.timed = false;
        model.pass(SECOND / 50)?;
    }
    for kind in [Kind::WholeSame, Kind::WholeOther] {
        for _ in 0..options.whole_lists {
            if kind == Kind::WholeOther {
                model.replace_list();
                model.leaving = None;
            }
            model.timed = true;
            model.whole(kind);
            model.timed = false;
            model.pass(SECOND / 50)?;
        }
    }
    let arguments = Options { me: Some(me), ..options.clone() };
    let mut report = report(&arguments)?;
    for kind in Kind::ALL {
        let spread = model.median(kind);
        let name = kind.name();
        report.add(&format!("{name}_count"), spread.count as f64, "events");
        if spread.count > 0 {
            report.add(&format!("{name}_p50"), spread.p50, "us");
            report.add(&format!("{name}_p99"), spread.p99, "us");
            report.add(&format!("{name}_mean"), spread.mean, "us");
        }
    }
    report.add("request_whole_mean", path / requests * 1e6, "us");
    let core = |seconds: f64| seconds / options.run_s * 100.0;
    report.add("core", core(path + tick + change), "%");
    report.add("core_requests", core(path), "%");
    report.add("core_ticks", core(tick), "%");
    report.add("core_changes", core(change), "%");
    counts.iter().for_each(|(name, &count)| report.add(name, count as f64, "events"));
    report.add("counter_calls_per_request", counts["counter_calls"] as f64 / requests, "calls");
    report.add("servers_used", used as f64, "servers");
    report.add("resident_list", known - listed, "bytes");
    report.add("resident_loaded", loaded - listed, "bytes");
    report.add("resident_model", listed - before, "bytes");
    report.notes.push("times are of `DecisionEngine::handle` alone, `core` of it at --rate".into());
    let off = match model.queued.get() {
        Some(_) => "what the thread waited for a processor is taken off the times",
        None => "the kernel does not tell what the thread waited for a processor: means and `core` hold it",
    };
    report.notes.push(off.into());
    report.notes.push("`decision` is a request, or a counter's answer to it, that sent an attempt".into());
    report
        .notes
        .push("`request_whole_mean` is a request with its counter's and its app server's answer".into());
    report.notes.push("`servers_used` met an attempt in the timed part: the subset as far as visible".into());
    Ok(report)
}

fn report(options: &Options) -> Result<Report, BenchError> {
    let arguments = serde_json::to_value(options)
        .map_err(|e| BenchError::System { what: "cannot tell the arguments", source: e.into() })?;
    Ok(Report::new("decisions", arguments))
}

/// Resident memory of this process, in bytes.
fn resident() -> Result<f64, BenchError> {
    Memory::own().map(|memory| memory.resident as f64)
}

/// Runs this build and another in turn, each in a process of its own, and tells the ratios of their figures.
fn beside(options: &Options, program: &std::path::Path) -> Result<Report, BenchError> {
    let this = std::env::current_exe()
        .map_err(|source| BenchError::System { what: "cannot find this program", source })?;
    let ends = Instant::now() + Duration::from_secs_f64(options.limit_s) * 2 * options.rounds;
    let sizes =
        (options.beside_servers.unwrap_or(options.servers), options.beside_nodes.unwrap_or(options.nodes));
    let mut rounds = Vec::new();
    for round in 0..options.rounds {
        let seed = options.seed.wrapping_add(round.into());
        let ours = || child::run(&this, &options.line(seed, options.servers, options.nodes), ends);
        let theirs = || child::run(program, &options.line(seed, sizes.0, sizes.1), ends);
        // Each goes first in turn: what warms up or slows down the machine meets both alike.
        let pair = match round % 2 {
            0 => ours().and_then(|a| Ok((a, theirs()?))),
            _ => theirs().and_then(|b| Ok((ours()?, b))),
        };
        rounds.push(pair.map_err(BenchError::Argument)?);
    }
    let mut report = report(options)?;
    let Some((first, _)) = rounds.first() else { return Ok(report) };
    for figure in &first.figures {
        let pairs: Option<Vec<(f64, f64)>> =
            rounds.iter().map(|(a, b)| Some((a.get(&figure.name)?, b.get(&figure.name)?))).collect();
        let Some(pairs) = pairs else { continue };
        let median = |mut values: Vec<f64>| {
            values.sort_by(f64::total_cmp);
            (values[(values.len() - 1) / 2] + values[values.len() / 2]) / 2.0
        };
        let (name, unit) = (&figure.name, &figure.unit);
        report.add(name, median(pairs.iter().map(|p| p.0).collect()), unit);
        report.add(&format!("beside_{name}"), median(pairs.iter().map(|p| p.1).collect()), unit);
        if unit == "us" || unit == "%" {
            let mut ratios: Vec<f64> = pairs.iter().map(|(a, b)| a / b).collect();
            ratios.sort_by(f64::total_cmp);
            if ratios.iter().all(|r| r.is_finite()) {
                report.add(&format!("ratio_{name}_least"), ratios[0], "x");
                report.add(&format!("ratio_{name}_most"), ratios[ratios.len() - 1], "x");
                report.add(&format!("ratio_{name}"), median(ratios), "x");
            }
        }
    }
    let (rounds, (servers, nodes)) = (options.rounds, sizes);
    let text = format!(
        "medians over {rounds} rounds in turn; `beside_` is the other build at {servers} servers and"
    );
    report.notes.push(format!("{text} {nodes} nodes, `ratio_` this build's figure over its"));
    Ok(report)
}

impl Options {
    /// The arguments of one run, for another process.
    fn line(&self, seed: u64, servers: u32, nodes: u32) -> Vec<String> {
        let mut line = vec!["decisions".to_string(), "--json".into()];
        let mut add = |name: &str, value: String| line.extend([format!("--{name}"), value]);
        add("servers", servers.to_string());
        add("nodes", nodes.to_string());
        if let Some(me) = self.me {
            add("me", me.to_string());
        }
        add("seed", seed.to_string());
        add("rate", self.rate.to_string());
        add("quota-share", self.quota_share.to_string());
        add("customers", self.customers.to_string());
        add("answer-ms", self.answer_ms.to_string());
        add("changes-per-s", self.changes_per_s.to_string());
        add("warm-up-s", self.warm_up_s.to_string());
        add("run-s", self.run_s.to_string());
        add("whole-lists", self.whole_lists.to_string());
        add("limit-s", self.limit_s.to_string());
        line
    }
}
