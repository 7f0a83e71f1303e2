//! The plan of a play: everything that happens in it, drawn from its seed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

use crate::fakes::hash::mix;

/// Every fault begins earlier than this after the start of the load, in milliseconds.
const LAST_FAULT_START_MS: u64 = 4_000;
/// Range of the duration of a fault, in milliseconds.
const FAULT_LENGTH_MS: std::ops::Range<u64> = 500..3_000;
/// Number of request classes.
pub const CLASS_COUNT: usize = 3;

/// What an endpoint does with an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Behaviour {
    /// It responds with status 200.
    Serve,
    /// It never responds.
    Hang,
    /// It resets the connection.
    Reset,
    /// It closes the connection in the middle of the response.
    Cut,
    /// It responds with status 500.
    Fail,
    /// It responds with status 503 and reports that the request did not run.
    Reject,
}

impl Behaviour {
    /// Returns whether an attempt at an endpoint with this behaviour may have run.
    pub fn may_have_run(self) -> bool {
        self != Behaviour::Reject
    }
}

/// The kind of a fault: which peer fails, and how.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// A share of the endpoints fails.
    Endpoints {
        /// What these endpoints do.
        behaviour: Behaviour,
        /// The share of the endpoints that fail; 1 for all of them.
        share: f64,
    },
    /// The counter service withholds its replies until the fault ends.
    CounterSilent,
    /// The counter service resets every connection.
    CounterReset,
    /// The counter service rejects every call as busy.
    CounterBusy,
    /// The discovery agent withholds its responses until the fault ends.
    DiscoverySilent,
}

/// A fault of a peer for some time.
#[derive(Debug, Clone, Serialize)]
pub struct Fault {
    /// Which peer fails, and how.
    pub kind: FaultKind,
    /// When the fault begins, in milliseconds since the start of the load.
    pub start_ms: u64,
    /// How long the fault lasts, in milliseconds.
    pub length_ms: u64,
}

/// What the clients of a flood send on their connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FloodKind {
    /// Nothing.
    Idle,
    /// A third of the clients send the first bytes of a request, the others nothing.
    PartlyHalfSent,
    /// The first bytes of a request.
    HalfSent,
    /// A request, byte by byte with pauses.
    Slow,
}

/// A flood: many connections at once.
#[derive(Debug, Clone, Serialize)]
pub struct Flood {
    /// What is sent on the connections.
    pub kind: FloodKind,
    /// Number of connections.
    pub count: usize,
    /// When the connections are opened, in milliseconds since the start of the load.
    pub start_ms: u64,
    /// Number of other clients that connect during the flood to send one request each.
    pub newcomers: usize,
}

/// A reload of the configuration: SIGHUP, sent once or several times in a row.
#[derive(Debug, Clone, Serialize)]
pub struct Reload {
    /// When the reload begins, in milliseconds since the start of the load.
    pub at_ms: u64,
    /// Number of signals that are sent after the configuration file has been replaced.
    pub signals: u32,
    /// Whether the configuration names the other one of the two discovery agents from then on.
    pub moves_discovery: bool,
    /// Whether an additional signal is sent first, while the file is malformed.
    pub is_spoilt: bool,
}

/// A signal that is sent during the shutdown.
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

/// The signals that shut the node down.
#[derive(Debug, Clone, Serialize)]
pub struct Shutdown {
    /// The signal that begins the shutdown.
    pub first: ShutdownSignal,
    /// Further signals, each sent 0.2 s after the one before.
    pub further: Vec<ShutdownSignal>,
    /// How long clients still make new connections after the first signal, in milliseconds.
    pub new_connections_ms: u64,
}

/// The plan of a play.
#[derive(Debug, Clone, Serialize)]
pub struct Plan {
    /// The seed from which everything is drawn.
    pub seed: u64,
    /// Number of endpoints.
    pub endpoints: u32,
    /// Index of the class of all requests; `None` if the requests are of all classes.
    pub only_class: Option<usize>,
    /// Number of clients that send requests one after another and keep their connection.
    pub clients: usize,
    /// Mean pause of a client before each of its requests, in milliseconds.
    pub pause_ms: u64,
    /// The faults of the peers, which may overlap.
    pub faults: Vec<Fault>,
    /// The flood, which a third of the plays have.
    pub flood: Option<Flood>,
    /// The reloads of the configuration, not sorted by time.
    pub reloads: Vec<Reload>,
    /// How the node is shut down.
    pub shutdown: Shutdown,
}

impl Plan {
    /// Draws the plan of the play with this seed.
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

    /// Returns the time from the start of the load to the end of the last fault; zero if there are no faults.
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
        length_ms: random.random_range(FAULT_LENGTH_MS),
    }
}

fn draw_flood(random: &mut StdRng) -> Flood {
    let kinds = [FloodKind::Idle, FloodKind::PartlyHalfSent, FloodKind::HalfSent, FloodKind::Slow];
    Flood {
        kind: kinds[random.random_range(0..kinds.len())],
        // Half to 1.2 times the number of file descriptors that the node may use.
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
