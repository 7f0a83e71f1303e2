//! What happens in a play, all drawn from its seed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

use crate::fakes::hash::mix;

/// Faults begin within this time of the start of the load, in milliseconds.
const LAST_FAULT_START_MS: u64 = 4_000;
/// How long a fault lasts, in milliseconds.
const FAULT_MS: std::ops::Range<u64> = 500..3_000;
/// How many classes there are.
pub const CLASS_COUNT: usize = 3;

/// What an endpoint does with an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Behaviour {
    /// It answers with status 200.
    Serve,
    /// It never answers.
    Hang,
    /// It resets the connection.
    Reset,
    /// It closes the connection within the response.
    Cut,
    /// It answers with status 500.
    Fail,
    /// It answers that the request did not run.
    Reject,
}

impl Behaviour {
    /// Whether an attempt that met it may have run.
    pub fn may_have_run(self) -> bool {
        self != Behaviour::Reject
    }
}

/// What is at fault.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// A share of the endpoints, 1 for all of them.
    Endpoints {
        /// What they do.
        behaviour: Behaviour,
        /// Their share.
        share: f64,
    },
    /// The counter service withholds its replies.
    CounterSilent,
    /// The counter service resets every connection.
    CounterReset,
    /// The counter service rejects every call as busy.
    CounterBusy,
    /// The discovery agent withholds its responses.
    DiscoverySilent,
}

/// A fault, with times since the start of the load.
#[derive(Debug, Clone, Serialize)]
pub struct Fault {
    /// What is at fault.
    pub kind: FaultKind,
    /// When it begins, in milliseconds.
    pub start_ms: u64,
    /// How long it lasts, in milliseconds.
    pub length_ms: u64,
}

/// What clients in a flood send on their connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FloodKind {
    /// Nothing.
    Idle,
    /// A third of them the first bytes of a request, the others nothing.
    PartlyHalfSent,
    /// The first bytes of a request.
    HalfSent,
    /// A byte of a request now and then.
    Slow,
}

/// Many connections at once.
#[derive(Debug, Clone, Serialize)]
pub struct Flood {
    /// What is sent on them.
    pub kind: FloodKind,
    /// How many there are.
    pub count: usize,
    /// When they connect, in milliseconds since the start of the load.
    pub start_ms: u64,
    /// How many other clients connect beside them.
    pub newcomers: usize,
}

/// SIGHUP, once or several times in a row.
#[derive(Debug, Clone, Serialize)]
pub struct Reload {
    /// When, in milliseconds since the start of the load.
    pub at_ms: u64,
    /// How many signals are sent.
    pub signals: u32,
    /// Discovery is at its other address from then on.
    pub moves_discovery: bool,
    /// The file can't be read at the first of the signals.
    pub is_spoilt: bool,
}

/// A signal of the shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ShutdownSignal {
    /// SIGTERM.
    Terminate,
    /// SIGINT.
    Interrupt,
    /// SIGHUP.
    Hangup,
}

/// How the node is shut down.
#[derive(Debug, Clone, Serialize)]
pub struct Shutdown {
    /// The signal that begins it.
    pub first: ShutdownSignal,
    /// Signals 0.2 s after one another from then on.
    pub further: Vec<ShutdownSignal>,
    /// How long new connections are made after the first signal, in milliseconds.
    pub new_connections_ms: u64,
}

/// What happens in a play.
#[derive(Debug, Clone, Serialize)]
pub struct Plan {
    /// The seed that all is drawn from.
    pub seed: u64,
    /// How many endpoints there are.
    pub endpoints: u32,
    /// The one class that all requests have; none if they have all classes.
    pub only_class: Option<usize>,
    /// Clients that keep their connection.
    pub clients: usize,
    /// Mean pause of a client between two requests, in milliseconds.
    pub pause_ms: u64,
    /// What is at fault and when.
    pub faults: Vec<Fault>,
    /// A third of the plays have one.
    pub flood: Option<Flood>,
    /// Configurations that are read anew.
    pub reloads: Vec<Reload>,
    /// How the node ends.
    pub shutdown: Shutdown,
}

impl Plan {
    /// Draws the play of a seed.
    pub fn draw(seed: u64) -> Plan {
        let mut random = StdRng::seed_from_u64(mix(seed, 11));
        let clients = random.random_range(6..24);
        Plan {
            seed,
            endpoints: random.random_range(3..9),
            only_class: random.random_bool(1.0 / 3.0).then(|| random.random_range(0..CLASS_COUNT)),
            clients,
            pause_ms: clients as u64 * 20,
            faults: (0..random.random_range(1..4)).map(|_| draw_fault(&mut random)).collect(),
            flood: random.random_bool(1.0 / 3.0).then(|| draw_flood(&mut random)),
            reloads: (0..random.random_range(0..3)).map(|_| draw_reload(&mut random)).collect(),
            shutdown: draw_shutdown(&mut random),
        }
    }

    /// When the last fault has ended, since the start of the load.
    pub fn last_fault_end(&self) -> Duration {
        let ends = self.faults.iter().map(|fault| fault.start_ms + fault.length_ms);
        Duration::from_millis(ends.max().unwrap_or(0))
    }
}

fn draw_fault(random: &mut StdRng) -> Fault {
    let behaviours = [Behaviour::Hang, Behaviour::Reset, Behaviour::Cut, Behaviour::Fail, Behaviour::Reject];
    let kind = match random.random_range(0..9) {
        0 => FaultKind::CounterSilent,
        1 => FaultKind::CounterReset,
        2 => FaultKind::CounterBusy,
        3 => FaultKind::DiscoverySilent,
        _ => FaultKind::Endpoints {
            behaviour: behaviours[random.random_range(0..behaviours.len())],
            share: [0.3, 0.6, 1.0, 1.0][random.random_range(0..4)],
        },
    };
    Fault {
        kind,
        start_ms: random.random_range(500..LAST_FAULT_START_MS),
        length_ms: random.random_range(FAULT_MS),
    }
}

fn draw_flood(random: &mut StdRng) -> Flood {
    let kinds = [FloodKind::Idle, FloodKind::PartlyHalfSent, FloodKind::HalfSent, FloodKind::Slow];
    Flood {
        kind: kinds[random.random_range(0..kinds.len())],
        // Half to 1.2 times as many as the node has descriptors for.
        count: random.random_range(120..310),
        start_ms: random.random_range(300..3_000),
        newcomers: random.random_range(6..40),
    }
}

fn draw_reload(random: &mut StdRng) -> Reload {
    Reload {
        at_ms: random.random_range(200..6_000),
        signals: if random.random_bool(0.3) { 8 } else { 1 },
        moves_discovery: random.random_bool(0.7),
        is_spoilt: random.random_bool(0.3),
    }
}

fn draw_shutdown(random: &mut StdRng) -> Shutdown {
    let signals = [ShutdownSignal::Terminate, ShutdownSignal::Interrupt, ShutdownSignal::Hangup];
    let first = if random.random_bool(0.8) { ShutdownSignal::Terminate } else { ShutdownSignal::Interrupt };
    Shutdown {
        first,
        further: (0..random.random_range(0..4)).map(|_| signals[random.random_range(0..3)]).collect(),
        new_connections_ms: random.random_range(200..400),
    }
}
