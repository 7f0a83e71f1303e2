//! How a list of any length is taken in: short ones on the spot, long ones beside the requests and in parts.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use crate::decision::{EndpointEntry, EndpointId, EndpointUpdateKind, Event};
use tokio::sync::{watch, Mutex};
use tokio::task::{spawn_blocking, spawn_local, yield_now, JoinError};

use crate::net::discovery::directory::EndpointDirectory;
use crate::net::discovery::endpoints::{Endpoints, Places, Renewed};
use crate::net::discovery::parser::{Faults, List};
use crate::net::event_sink::EventSink;

/// Texts up to this long are taken in on the spot. Danger: requests wait meanwhile, and a list of 46,000 app
/// servers takes tens of milliseconds; longer ones are made ready on a thread of their own.
pub const DIRECT_MOST: usize = 64 * 1024;
/// So many app servers are forgotten on the spot.
const DIRECT_ENTRIES: usize = 500;
/// The decisions are told of so many entries of a long list's delta at a time. Danger: a request may wait for a part
/// in each of the some six turns that it needs. At 46,000 app servers one takes 0.05 to 0.2 ms; half as many entries
/// take two thirds of the time, since each part goes through the ring, and four times as many 0.5 ms.
pub const PART: usize = 256;

/// A list as it has come, and whether it is so long that it is made ready on a thread of its own.
pub struct Told {
    /// The list.
    pub list: List,
    /// Whether it is long.
    pub long: bool,
}

impl Told {
    /// Reads the text of a list, a long one beside the requests.
    ///
    /// # Errors
    /// If that thread fails; within, if it is no list.
    pub async fn read(text: Vec<u8>) -> Result<serde_json::Result<Told>, JoinError> {
        let long = text.len() > DIRECT_MOST;
        let read = move || List::read(&text).map(|list| Told { list, long });
        if long {
            spawn_blocking(read).await
        } else {
            Ok(read())
        }
    }
}

/// When something was asked or begun: after which move of discovery, and after how many lists.
#[derive(Clone, Copy, PartialEq)]
struct Moment {
    epoch: u64,
    taken: u64,
}

/// What a long list comes to, worked out beside the requests.
struct Update {
    endpoints: Endpoints,
    stale: Vec<EndpointId>,
    faults: Faults,
    parts: Vec<Vec<EndpointEntry>>,
}

impl Update {
    fn new(known: &Endpoints, list: &List, kind: EndpointUpdateKind, places: &Places) -> Self {
        let Renewed { endpoints, stale, faults, .. } = made_ready(known, list, kind, places);
        let parts = parts(&endpoints.delta(known));
        Update { endpoints, stale, faults, parts }
    }
}

/// The parts in which the decisions are told of a delta.
pub fn parts(delta: &[EndpointEntry]) -> Vec<Vec<EndpointEntry>> {
    delta.chunks(PART).map(<[EndpointEntry]>::to_vec).collect()
}

/// Takes in lists, one at a time, and knows the version of what has been taken in.
pub struct Intake {
    directory: Rc<dyn EndpointDirectory>,
    places: Arc<Places>,
    /// The newest version taken in. Versions are an agent's own; none is known of a new one.
    version: Cell<Option<u64>>,
    /// How often discovery has moved: what was asked before a move says nothing after it.
    epoch: Cell<u64>,
    /// How many lists have been taken in.
    taken: Cell<u64>,
    /// Held by the one long list that is being made ready or told.
    turn: Mutex<()>,
    /// Whether the decisions are being told of one in parts.
    telling: watch::Sender<bool>,
    /// Whether discovery has told anything since the start.
    heard: watch::Sender<bool>,
}

impl Intake {
    /// Nothing is known yet.
    pub fn new(directory: Rc<dyn EndpointDirectory>, places: Places) -> Rc<Self> {
        Rc::new(Intake {
            directory,
            places: Arc::new(places),
            version: Cell::default(),
            epoch: Cell::default(),
            taken: Cell::default(),
            turn: Mutex::default(),
            telling: watch::channel(false).0,
            heard: watch::channel(false).0,
        })
    }

    /// The newest version taken in, of this agent's.
    pub fn version(&self) -> Option<u64> {
        self.version.get()
    }

    /// How often discovery has moved.
    pub fn epoch(&self) -> u64 {
        self.epoch.get()
    }

    /// Discovery moves: nothing is known of the new agent's versions.
    pub fn moved(&self) {
        self.epoch.set(self.epoch.get() + 1);
        self.version.set(None);
    }

    /// Notes a version that brings nothing new.
    pub fn note(&self, version: u64) {
        self.version.set(self.version.get().max(Some(version)));
        self.hear();
    }

    /// Comes back once discovery has told what it holds.
    pub async fn heard(&self) {
        // The sender lives as long as this does.
        let _ = self.heard.subscribe().wait_for(|&heard| heard).await;
    }

    fn hear(&self) {
        self.heard.send_if_modified(|heard| !std::mem::replace(heard, true));
    }

    fn moment(&self) -> Moment {
        Moment { epoch: self.epoch.get(), taken: self.taken.get() }
    }

    /// Whether a move or a newer list has overtaken what came at this moment.
    fn overtaken(&self, came: Moment, version: u64) -> bool {
        came.epoch != self.epoch.get() || came != self.moment() && Some(version) < self.version.get()
    }

    /// Takes in a list of any length. False if it was overtaken meanwhile: by a move, or by a newer list.
    ///
    /// # Errors
    /// If the thread beside the requests fails.
    pub async fn take_in(
        self: &Rc<Self>,
        events: &Rc<dyn EventSink>,
        told: Told,
        kind: EndpointUpdateKind,
    ) -> Result<bool, JoinError> {
        let came = self.moment();
        if told.long {
            // Danger: a move ends the watch that has brought this list, and half of it would be taken in.
            return spawn_local(self.clone().take_in_parts(events.clone(), told.list, kind, came)).await?;
        }
        // Danger: the later parts of a long list would undo what came between two of them.
        if *self.telling.borrow() {
            let _ = self.telling.subscribe().wait_for(|&telling| !telling).await;
        }
        let current = !self.overtaken(came, told.list.version);
        if current {
            self.take(events.as_ref(), &told.list, kind);
        }
        Ok(current)
    }

    async fn take_in_parts(
        self: Rc<Self>,
        events: Rc<dyn EventSink>,
        list: List,
        kind: EndpointUpdateKind,
        came: Moment,
    ) -> Result<bool, JoinError> {
        let _turn = self.turn.lock().await;
        let list = Arc::new(list);
        while !self.overtaken(came, list.version) {
            let known = self.directory.endpoints();
            let update = {
                let (list, known, places) = (list.clone(), known.clone(), self.places.clone());
                spawn_blocking(move || Update::new(&known, &list, kind, &places)).await?
            };
            // Danger: what was made ready beside something else would undo what has come since.
            if !self.directory.is_current(&known) || self.overtaken(came, list.version) {
                let_go((known, update));
                continue;
            }
            let version = list.version;
            list.faults().lines().chain(update.faults.lines()).for_each(log);
            let_go((list, known));
            self.tell(events.as_ref(), update, came.epoch, version).await;
            return Ok(true);
        }
        let_go(list);
        Ok(false)
    }

    /// Puts an update in the place of what was known, and tells the decisions of it in parts.
    async fn tell(&self, events: &dyn EventSink, update: Update, epoch: u64, version: u64) {
        self.telling.send_replace(true);
        self.directory.replace(update.endpoints, &update.stale);
        for entries in update.parts {
            events.send(Event::EndpointsUpdated { kind: EndpointUpdateKind::Delta, entries });
            // Requests that are ready go first, and what sockets have to say is read.
            yield_now().await;
        }
        let_go(self.directory.finish_replacement());
        self.telling.send_replace(false);
        // Danger: the versions of a new agent have nothing to do with the old one's.
        self.end(if self.epoch.get() == epoch { Some(version) } else { self.version.get() });
        self.hear();
    }

    /// Takes in a list on the spot.
    pub fn take(&self, events: &dyn EventSink, list: &List, kind: EndpointUpdateKind) {
        list.faults().lines().for_each(log);
        let entries = if kind == EndpointUpdateKind::Delta {
            let applied = self.directory.apply_delta(list.entries(), &self.places);
            applied.faults.lines().for_each(log);
            applied.entries
        } else {
            let made = made_ready(&self.directory.endpoints(), list, kind, &self.places);
            made.faults.lines().for_each(log);
            self.directory.replace(made.endpoints, &made.stale);
            let before = self.directory.finish_replacement();
            if before.as_ref().is_some_and(|before| before.len() > DIRECT_ENTRIES) {
                let_go(before);
            }
            made.members
        };
        self.end(Some(list.version));
        events.send(Event::EndpointsUpdated { kind, entries });
        if kind != EndpointUpdateKind::StaleSnapshot {
            self.hear();
        }
    }

    /// A list has been taken in.
    fn end(&self, version: Option<u64>) {
        self.version.set(version);
        self.taken.set(self.taken.get() + 1);
    }
}

fn made_ready(known: &Endpoints, list: &List, kind: EndpointUpdateKind, places: &Places) -> Renewed {
    match kind {
        EndpointUpdateKind::Delta => known.changed(list.entries(), places),
        _ => known.renewed(list.entries(), places),
    }
}

fn log(fault: String) {
    eprintln!("edge-node: discovery: {fault}");
}

/// Drops what may be long. Danger: to free tens of thousands of entries holds up requests, too.
fn let_go<T: Send + 'static>(what: T) {
    spawn_blocking(move || drop(what));
}
