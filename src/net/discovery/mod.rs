//! Discovery: a watch that never ends, and single fetches. What they bring is taken in by `apply`.

pub mod apply;
pub mod backoff;
pub mod directory;
pub mod endpoints;
pub mod parser;

use std::cell::{Cell, RefCell};
use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use crate::decision::{EndpointUpdateKind, Event};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, HOST};
use hyper::{Request, Response, StatusCode, Uri};
use tokio::task::AbortHandle;
use tokio::time::{timeout, timeout_at, Instant};

use crate::net::discovery::apply::{Intake, Told};
use crate::net::discovery::backoff::Backoff;
use crate::net::discovery::directory::EndpointDirectory;
use crate::net::discovery::endpoints::Places;
use crate::net::discovery::parser::List;
use crate::net::event_sink::EventSink;
use crate::net::http_client::ClientConnection;

/// How long a watch may wait, and how much later its answer counts as lost. Danger: a change counts as told
/// 6 s after it at the latest, arrived or not, so a watch on a dead connection is given up sooner.
const WAIT_MS: u64 = 4_000;
const GRACE: Duration = Duration::from_millis(1_000);
/// How long a watch may stay silent in all.
pub const WATCH_WAIT: Duration = Duration::from_millis(WAIT_MS).saturating_add(GRACE);
/// How long a fetch of the whole list may stay silent.
pub const FETCH_WAIT: Duration = Duration::from_secs(2);
/// How long a new agent may stay silent: what it knows counts as told 4 s after the move.
pub const FIRST_WAIT: Duration = Duration::from_millis(500);
/// An answer that has begun to come may go on past these times while no pause in it is longer than this. Danger: a
/// long list on a busy core takes its time, and a call that is given up and made again takes it twice.
pub const STALL: Duration = Duration::from_millis(250);
/// By how much an answer may pass them at the most. After a move it has come by then before it counts as told.
pub const LIST_WAIT: Duration = Duration::from_millis(2_500);
/// Danger: where the thread was busy for longer than a wait, the wait is over before what has arrived is read.
const LAST_LOOK: Duration = Duration::from_millis(10);
/// Pause of a watch that does not wait.
const PAUSE: Duration = Duration::from_millis(20);
/// Calls to an agent on this machine that failed are made again after these pauses: it answers at no cost, and
/// a watch goes on as one while each call comes within 200 ms of the last answer.
const AGENT_PAUSE: Duration = Duration::from_millis(20);
/// The longest of these.
pub const AGENT_PAUSE_MOST: Duration = Duration::from_millis(160);
/// What each node of the fleet adds to the spread of first calls and of pauses after calls that failed, where
/// all nodes ask one discovery, and how many times longer the last pause is than the first. Danger: that is one
/// service of fixed capacity, and goes on working on calls that nobody waits for any more. A hundred nodes that
/// call at once, and again as soon as they have failed, keep it full for ever. A fleet of a hundred that starts
/// makes some 20 calls a second, which is what an overbooked discovery was seen to answer.
const SPREAD_EACH: Duration = Duration::from_millis(50);
/// How many times longer than the first.
pub const SPREAD_GROWTH: u32 = 2;
/// Whatever discovery has to tell counts as told by then, so no spread is longer, however many the nodes; and a
/// first call needs time for its answer, too.
pub const TOLD_AFTER: Duration = Duration::from_secs(6);
const FIRST_CALL_MOST: Duration = TOLD_AFTER.saturating_sub(FETCH_WAIT);
/// How long the answer to a call takes that is made again after one that failed. What that one may have missed
/// counts as told 6 s after it began, so the pause ends so much earlier; the last part of it is drawn by lot.
pub const ANSWER: Duration = Duration::from_millis(400);
const LOT: f64 = 0.2;
/// After a move the list counts as told sooner, 4 s after SIGHUP: no longer pause until it has come.
const MOVED_PAUSE_MOST: Duration = Duration::from_millis(500);
/// No list is this long: twice that of 46,000 app servers with long names, indented.
pub const LIST_MOST: usize = 32 * 1024 * 1024;
/// Why a call to discovery failed.
enum Failure {
    Silent,
    Broken,
    Status(StatusCode),
    Malformed(serde_json::Error),
    Unreadable,
    TooLong,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Silent => f.write_str("no answer in time"),
            Failure::Broken => f.write_str("the connection failed"),
            Failure::Status(status) => write!(f, "answer {status}"),
            Failure::Malformed(error) => write!(f, "malformed list: {error}"),
            Failure::TooLong => write!(f, "a list of more than {LIST_MOST} bytes"),
            Failure::Unreadable => f.write_str("malformed list: no entry can be read"),
        }
    }
}

/// Discovery as this node sees it.
pub struct Discovery {
    address: Cell<SocketAddr>,
    intake: Rc<Intake>,
    watcher: RefCell<Option<AbortHandle>>,
    pace: RefCell<WatchSchedule>,
}

impl Discovery {
    /// Discovery at this address, called at this pace, whose lists go into this directory.
    pub fn new(
        address: SocketAddr,
        directory: Rc<dyn EndpointDirectory>,
        places: Places,
        pace: WatchSchedule,
    ) -> Rc<Self> {
        Rc::new(Discovery {
            pace: RefCell::new(pace),
            address: Cell::new(address),
            intake: Intake::new(directory, places),
            watcher: RefCell::default(),
        })
    }

    /// Takes in the list that the node had before its start, and watches from there on for ever. With a list to
    /// go by, the first call is staggered.
    pub fn start(self: &Rc<Self>, events: &Rc<dyn EventSink>, known: List) {
        let stagger = if known.is_empty() { Duration::ZERO } else { self.pace.borrow_mut().first_call() };
        // On the spot, however long: nobody waits yet.
        self.intake.take(events.as_ref(), &known, EndpointUpdateKind::StaleSnapshot);
        self.spawn(events, stagger);
    }

    /// Goes on with the agent at this address. Danger: its versions have nothing to do with the old one's, so
    /// it is asked for the whole list first, and what the old one still says is dropped with its watch.
    pub fn move_to(self: &Rc<Self>, events: &Rc<dyn EventSink>, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.intake.moved();
            self.spawn(events, Duration::ZERO);
        }
    }

    fn spawn(self: &Rc<Self>, events: &Rc<dyn EventSink>, after: Duration) {
        let (discovery, events) = (self.clone(), events.clone());
        let task = tokio::task::spawn_local(async move {
            tokio::time::sleep(after).await;
            discovery.watch(&events).await;
        });
        if let Some(old) = self.watcher.replace(Some(task.abort_handle())) {
            old.abort();
        }
    }

    async fn watch(&self, events: &Rc<dyn EventSink>) {
        let (mut connection, mut failing) = (None, false);
        loop {
            let (path, wait) = match self.intake.version() {
                Some(version) => (format!("/discovery/hosts?after={version}&wait_ms={WAIT_MS}"), WATCH_WAIT),
                None => ("/discovery/hosts".into(), FIRST_WAIT),
            };
            let begun = Instant::now();
            let heeded = match self.get(&mut connection, &path, wait).await {
                Ok(told) => self.heed(events, told).await,
                Err(failure) => Err(failure),
            };
            match heeded {
                Ok(news) => {
                    failing = false;
                    self.pace.borrow_mut().reset();
                    if !news && begun.elapsed() < PAUSE {
                        // Danger: a watch that does not wait would keep the core busy.
                        tokio::time::sleep(PAUSE).await;
                    }
                }
                Err(failure) => {
                    if !std::mem::replace(&mut failing, true) {
                        eprintln!("edge-node: discovery: {failure}; trying on");
                    }
                    connection = None;
                    let pause =
                        self.pace.borrow_mut().pause(self.intake.version().is_none(), begun.elapsed());
                    tokio::time::sleep(pause).await;
                }
            }
        }
    }

    /// Takes in what a watch was told, if it is news.
    async fn heed(&self, events: &Rc<dyn EventSink>, told: Told) -> Result<bool, Failure> {
        let list = &told.list;
        let (version, known) = (list.version, self.intake.version());
        let nothing = list.is_empty() && !list.snapshot && known.is_some();
        let kind = if list.snapshot || known.is_none() {
            EndpointUpdateKind::Snapshot
        } else {
            EndpointUpdateKind::Delta
        };
        // Danger: a fetch may have brought a newer list meanwhile; older changes would undo it.
        let old = kind == EndpointUpdateKind::Delta && Some(version) < known;
        if !nothing && !old && self.take_in(events, told, kind).await? {
            return Ok(true);
        }
        // A version that brings no change is still the one to go on from.
        self.intake.note(version);
        Ok(false)
    }

    async fn take_in(
        &self,
        events: &Rc<dyn EventSink>,
        told: Told,
        kind: EndpointUpdateKind,
    ) -> Result<bool, Failure> {
        self.intake.take_in(events, told, kind).await.map_err(|_| Failure::Broken)
    }

    /// Fetches the whole list once.
    pub fn fetch(self: &Rc<Self>, events: Rc<dyn EventSink>) {
        let (discovery, epoch) = (self.clone(), self.intake.epoch());
        tokio::task::spawn_local(async move {
            let answer = discovery.get(&mut None, "/discovery/hosts", FETCH_WAIT).await;
            // The new agent is asked for its whole list anyway. Danger: the same address after two moves.
            let moved = || discovery.intake.epoch() != epoch;
            let failure = match answer {
                Ok(_) if moved() => return,
                // The watch may have brought something newer meanwhile.
                Ok(told) if Some(told.list.version) >= discovery.intake.version() => {
                    discovery.take_in(&events, told, EndpointUpdateKind::Snapshot).await.err()
                }
                Ok(_) => None,
                Err(failure) => Some(failure),
            };
            if let Some(failure) = failure.filter(|_| !moved()) {
                eprintln!("edge-node: discovery: {failure}; the watch goes on");
                events.send(Event::EndpointsUpdated {
                    kind: EndpointUpdateKind::WatchLost,
                    entries: Vec::new(),
                });
            }
        });
    }

    /// Asks for a list. It may stay silent for so long, and take as long as it goes on coming.
    async fn get(
        &self,
        connection: &mut Option<ClientConnection>,
        path: &str,
        wait: Duration,
    ) -> Result<Told, Failure> {
        let patience = Patience::new(Instant::now(), wait);
        let asked = by(patience.silent(), self.ask(connection.take(), path)).await;
        let (line, response) = asked.ok_or(Failure::Silent)??;
        let status = response.status();
        let text = gather(response.into_body(), patience).await?;
        if status != StatusCode::OK {
            return Err(Failure::Status(status));
        }
        *connection = Some(line);
        let told = Told::read(text).await.map_err(|_| Failure::Broken)?.map_err(Failure::Malformed)?;
        if told.list.readable() {
            Ok(told)
        } else {
            Err(Failure::Unreadable)
        }
    }

    async fn ask(
        &self,
        kept: Option<ClientConnection>,
        path: &str,
    ) -> Result<(ClientConnection, Response<Incoming>), Failure> {
        let mut line = match kept.filter(ClientConnection::is_open) {
            Some(line) => line,
            None => ClientConnection::open(self.address.get(), ()).await.map_err(|_| Failure::Broken)?,
        };
        let mut request = Request::new(Full::<Bytes>::default());
        *request.uri_mut() = path.parse::<Uri>().map_err(|_| Failure::Broken)?;
        let host = HeaderValue::from_str(&self.address.get().to_string()).map_err(|_| Failure::Broken)?;
        request.headers_mut().insert(HOST, host);
        let response = line.send(request).await.map_err(|_| Failure::Broken)?;
        Ok((line, response))
    }

    /// Comes back once discovery has told what it holds.
    pub async fn first_snapshot_received(&self) {
        self.intake.heard().await;
    }
}

/// What comes of some work, unless it is not done by then.
async fn by<F: Future>(until: Instant, work: F) -> Option<F::Output> {
    let mut work = pin!(work);
    match timeout_at(until, work.as_mut()).await {
        Ok(done) => Some(done),
        Err(_) => timeout(LAST_LOOK, work).await.ok(),
    }
}

/// Takes in the text of a list.
async fn gather(mut body: Incoming, patience: Patience) -> Result<Vec<u8>, Failure> {
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced > LIST_MOST {
        return Err(Failure::TooLong);
    }
    let mut text = Vec::with_capacity(announced);
    let mut stop = patience.silent();
    while let Some(frame) = by(stop, body.frame()).await.ok_or(Failure::Silent)? {
        let Ok(data) = frame.map_err(|_| Failure::Broken)?.into_data() else { continue };
        if text.len() + data.len() > LIST_MOST {
            return Err(Failure::TooLong);
        }
        text.extend_from_slice(&data);
        stop = patience.heard(Instant::now());
    }
    Ok(text)
}

/// Until when an answer is waited for.
#[derive(Clone, Copy)]
pub struct Patience {
    until: Instant,
    /// By how much an answer that goes on coming may pass that. Danger: a call that is given up later than the
    /// answer to a further one needs before all counts as told.
    beyond: Duration,
}

impl Patience {
    /// Of a call begun at this time whose answer may stay out for so long.
    pub fn new(begun: Instant, wait: Duration) -> Self {
        let beyond = LIST_WAIT.min(TOLD_AFTER.saturating_sub(ANSWER + wait));
        Patience { until: begun + wait, beyond }
    }

    /// Until when, while nothing comes.
    pub fn silent(self) -> Instant {
        self.until
    }

    /// Until when, if some of the answer has come at this time.
    pub fn heard(self, at: Instant) -> Instant {
        self.until.max(at + STALL).min(self.until + self.beyond)
    }
}

/// The pace of one node's calls, such that all nodes together leave discovery room and no list grows too old.
pub struct WatchSchedule {
    backoff: Backoff,
    /// How late the first call may be that a node makes with a list to go by.
    spread: Duration,
}

impl WatchSchedule {
    /// For one of so many nodes. `asked`: all nodes call one discovery, and none holds the list for them.
    /// Danger: an agent on the node's own machine counts as the node itself, so what it holds counts as told
    /// at once; each moment without a watch there may break a drain, and sparing it spares nobody.
    pub fn new(seed: u64, nodes: u32, asked: bool) -> Self {
        if !asked {
            let backoff = Backoff::new(seed, AGENT_PAUSE, AGENT_PAUSE_MOST);
            return WatchSchedule { backoff, spread: Duration::ZERO };
        }
        let first = (SPREAD_EACH * nodes).clamp(PAUSE, TOLD_AFTER);
        WatchSchedule {
            backoff: Backoff::new(seed, first, first * SPREAD_GROWTH),
            spread: first.min(FIRST_CALL_MOST),
        }
    }

    /// How late the first call of a node is that has a list to go by.
    pub fn first_call(&mut self) -> Duration {
        self.backoff.part_of(self.spread)
    }

    /// How long to wait after a call that failed, so long after its begin; `moved`: discovery has moved and not
    /// told its list yet. Danger: what changed as the call began counts as told 6 s later, whatever became of it.
    pub fn pause(&mut self, moved: bool, spent: Duration) -> Duration {
        let pause = self.backoff.pause();
        let most = if moved { MOVED_PAUSE_MOST } else { TOLD_AFTER.saturating_sub(ANSWER + spent) };
        // Danger: cut off at one length, the pauses of all nodes would bring them into step.
        if pause < most {
            pause
        } else {
            (most - self.backoff.part_of(most.mul_f64(LOT))).max(AGENT_PAUSE / 2)
        }
    }

    fn reset(&mut self) {
        self.backoff.reset();
    }
}
