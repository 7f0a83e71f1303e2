//! How a list of any length is applied: short ones at once, long ones prepared on a thread of their own and published
//! in parts.
//!
//! Each list reaches two places: the directory (upstream's `KnownEndpoints`) decides where an endpoint can be reached,
//! and the balancer's table which endpoints are selected. `publish` updates both for a long list: the directory at once
//! and the table in parts. Endpoints known before stay reachable until the last part is announced.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use tokio::sync::{watch, Mutex};
use tokio::task::{spawn_blocking, spawn_local, yield_now, JoinError};

use crate::decision::{EndpointEntry, EndpointId, EndpointUpdateKind, Event};
use crate::net::discovery::delta::parts;
use crate::net::discovery::directory::EndpointDirectory;
use crate::net::discovery::endpoints::Endpoints;
use crate::net::discovery::labels::PlacementLabels;
use crate::net::discovery::parser::{EndpointList, ListFaults};
use crate::net::discovery::snapshot::AppliedList;
use crate::net::event_sink::EventSink;

/// Longest text of a list, in bytes, that is applied at once. Requests wait meanwhile, so longer ones are prepared on
/// a thread of their own.
pub const MAX_INLINE_BYTES: usize = 64 * 1024;
/// Most endpoints that are dropped at once.
const MAX_INLINE_DROP: usize = 500;

/// A list as it was received.
pub struct ReceivedList {
    /// The list.
    pub list: EndpointList,
    /// Whether it is so long that it is prepared on a thread of its own.
    pub is_long: bool,
}

impl ReceivedList {
    /// Reads the text of a list, a long one on a thread of its own.
    ///
    /// # Errors
    /// If that thread fails; within, if the text is no list.
    pub async fn read(text: Vec<u8>) -> Result<serde_json::Result<ReceivedList>, JoinError> {
        let is_long = text.len() > MAX_INLINE_BYTES;
        let read = move || EndpointList::read(&text).map(|list| ReceivedList { list, is_long });
        if is_long {
            spawn_blocking(read).await
        } else {
            Ok(read())
        }
    }
}

/// What became of a list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// It was applied.
    Applied,
    /// It was dropped: discovery has moved meanwhile, or a newer list was applied.
    Superseded,
}

/// A point in the order in which this node applies lists: after which move of discovery, and after how many lists. It
/// is the node's own count; the version of a list is discovery's.
#[derive(Clone, Copy, PartialEq)]
struct ApplyPoint {
    moves: u64,
    applied_lists: u64,
}

/// A long list applied to the endpoints known now, worked out beside the requests.
struct PreparedUpdate {
    endpoints: Endpoints,
    stale: Vec<EndpointId>,
    faults: ListFaults,
    parts: Vec<Vec<EndpointEntry>>,
}

impl PreparedUpdate {
    fn new(
        known: &Endpoints,
        list: &EndpointList,
        kind: EndpointUpdateKind,
        labels: &PlacementLabels,
    ) -> Self {
        let applied = apply_to(known, list, kind, labels);
        let parts = parts(&applied.endpoints.delta_since(known));
        PreparedUpdate { endpoints: applied.endpoints, stale: applied.stale, faults: applied.faults, parts }
    }
}

/// Applies lists, one at a time, and knows the version of what was applied.
pub struct ListApplier {
    directory: Rc<dyn EndpointDirectory>,
    labels: Arc<PlacementLabels>,
    /// The newest version applied. Each discovery counts its own; none is known after a move.
    version: Cell<Option<u64>>,
    /// How often discovery has moved: what was asked before a move says nothing after it.
    moves: Cell<u64>,
    applied_lists: Cell<u64>,
    /// Held by the one long list that is being prepared or published.
    long_list_lock: Mutex<()>,
    /// Whether the decisions are being notified of a list in parts.
    is_publishing: watch::Sender<bool>,
    /// Whether discovery has sent anything since the start.
    first_snapshot: watch::Sender<bool>,
}

impl ListApplier {
    /// Nothing is known yet.
    pub fn new(directory: Rc<dyn EndpointDirectory>, labels: PlacementLabels) -> Rc<Self> {
        Rc::new(ListApplier {
            directory,
            labels: Arc::new(labels),
            version: Cell::default(),
            moves: Cell::default(),
            applied_lists: Cell::default(),
            long_list_lock: Mutex::default(),
            is_publishing: watch::channel(false).0,
            first_snapshot: watch::channel(false).0,
        })
    }

    /// The newest version applied, as discovery at the present address counts.
    pub fn version(&self) -> Option<u64> {
        self.version.get()
    }

    /// How often discovery has moved.
    pub fn moves(&self) -> u64 {
        self.moves.get()
    }

    /// Discovery has moved: no version at the new address is known.
    pub fn discovery_moved(&self) {
        self.moves.set(self.moves.get() + 1);
        self.version.set(None);
    }

    /// Notes a version that brings no change.
    pub fn note_version(&self, version: u64) {
        self.version.set(self.version.get().max(Some(version)));
        self.signal_first_snapshot();
    }

    /// Returns once discovery has sent what it holds.
    pub async fn first_snapshot_received(&self) {
        // The sender lives as long as this does.
        let _ = self.first_snapshot.subscribe().wait_for(|&is_received| is_received).await;
    }

    fn signal_first_snapshot(&self) {
        self.first_snapshot.send_if_modified(|is_received| !std::mem::replace(is_received, true));
    }

    fn apply_point(&self) -> ApplyPoint {
        ApplyPoint { moves: self.moves.get(), applied_lists: self.applied_lists.get() }
    }

    /// Whether a list received at this point is out of date: after a move, or a newer list.
    fn is_superseded(&self, received_at: ApplyPoint, version: u64) -> bool {
        let discovery_moved = received_at.moves != self.moves.get();
        let newer_list_applied = received_at != self.apply_point() && Some(version) < self.version.get();
        discovery_moved || newer_list_applied
    }

    /// Applies a list of any length.
    ///
    /// # Errors
    /// If the thread that prepares a long one fails.
    pub async fn apply(
        self: &Rc<Self>,
        events: &Rc<dyn EventSink>,
        received: ReceivedList,
        kind: EndpointUpdateKind,
    ) -> Result<ApplyOutcome, JoinError> {
        let received_at = self.apply_point();
        if received.is_long {
            // In a task of its own: a move ends the watch that has brought this list, and half of it would be
            // applied.
            let applier = self.clone();
            return spawn_local(applier.apply_long(events.clone(), received.list, kind, received_at)).await?;
        }
        // The later parts of a long list would undo what is applied between two of them.
        if *self.is_publishing.borrow() {
            let _ = self.is_publishing.subscribe().wait_for(|&is_publishing| !is_publishing).await;
        }
        if self.is_superseded(received_at, received.list.version) {
            return Ok(ApplyOutcome::Superseded);
        }
        self.apply_inline(events.as_ref(), &received.list, kind);
        Ok(ApplyOutcome::Applied)
    }

    /// Applies a long list: prepares it on another thread until nothing has changed meanwhile, then publishes it.
    async fn apply_long(
        self: Rc<Self>,
        events: Rc<dyn EventSink>,
        list: EndpointList,
        kind: EndpointUpdateKind,
        received_at: ApplyPoint,
    ) -> Result<ApplyOutcome, JoinError> {
        let _lock = self.long_list_lock.lock().await;
        let list = Arc::new(list);
        while !self.is_superseded(received_at, list.version) {
            let known = self.directory.endpoints();
            let update = self.prepare(&known, &list, kind).await?;
            // What was prepared beside something else would undo what has been applied since.
            if !self.directory.is_current(&known) || self.is_superseded(received_at, list.version) {
                drop_in_background((known, update));
                continue;
            }
            let version = list.version;
            log_faults(list.faults());
            log_faults(&update.faults);
            drop_in_background((list, known));
            self.publish(events.as_ref(), update, received_at.moves, version).await;
            return Ok(ApplyOutcome::Applied);
        }
        drop_in_background(list);
        Ok(ApplyOutcome::Superseded)
    }

    async fn prepare(
        &self,
        known: &Arc<Endpoints>,
        list: &Arc<EndpointList>,
        kind: EndpointUpdateKind,
    ) -> Result<PreparedUpdate, JoinError> {
        let known = known.clone();
        let list = list.clone();
        let labels = self.labels.clone();
        spawn_blocking(move || PreparedUpdate::new(&known, &list, kind, &labels)).await
    }

    /// Replaces the endpoints known before, and notifies the decisions of the change in parts.
    async fn publish(&self, events: &dyn EventSink, update: PreparedUpdate, moves: u64, version: u64) {
        self.is_publishing.send_replace(true);
        self.directory.replace(update.endpoints, &update.stale);
        for entries in update.parts {
            events.send(Event::EndpointsUpdated { kind: EndpointUpdateKind::Delta, entries });
            // Requests that are ready go first, and what has arrived on sockets is read.
            yield_now().await;
        }
        drop_in_background(self.directory.finish_replacement());
        self.is_publishing.send_replace(false);
        // The versions at a new address have nothing to do with those at the old one.
        let has_not_moved = self.moves.get() == moves;
        self.list_applied(if has_not_moved { Some(version) } else { self.version.get() });
        self.signal_first_snapshot();
    }

    /// Applies a list at once, however long.
    pub fn apply_inline(&self, events: &dyn EventSink, list: &EndpointList, kind: EndpointUpdateKind) {
        log_faults(list.faults());
        let entries = if kind == EndpointUpdateKind::Delta {
            let applied = self.directory.apply_delta(list.entries(), &self.labels);
            log_faults(&applied.faults);
            applied.entries
        } else {
            self.replace_inline(list, kind)
        };
        self.list_applied(Some(list.version));
        events.send(Event::EndpointsUpdated { kind, entries });
        if kind != EndpointUpdateKind::StaleSnapshot {
            self.signal_first_snapshot();
        }
    }

    fn replace_inline(&self, list: &EndpointList, kind: EndpointUpdateKind) -> Vec<EndpointEntry> {
        let applied = apply_to(&self.directory.endpoints(), list, kind, &self.labels);
        log_faults(&applied.faults);
        self.directory.replace(applied.endpoints, &applied.stale);
        let previous = self.directory.finish_replacement();
        if previous.as_ref().is_some_and(|previous| previous.len() > MAX_INLINE_DROP) {
            drop_in_background(previous);
        }
        applied.entries
    }

    fn list_applied(&self, version: Option<u64>) {
        self.version.set(version);
        self.applied_lists.set(self.applied_lists.get() + 1);
    }
}

fn apply_to(
    known: &Endpoints,
    list: &EndpointList,
    kind: EndpointUpdateKind,
    labels: &PlacementLabels,
) -> AppliedList {
    match kind {
        EndpointUpdateKind::Delta => known.with_delta(list.entries(), labels),
        _ => known.with_snapshot(list.entries(), labels),
    }
}

fn log_faults(faults: &ListFaults) {
    for fault in faults.lines() {
        eprintln!("edge-node: discovery: {fault}");
    }
}

/// Drops what may be long on another thread: requests would wait while tens of thousands of entries are freed.
fn drop_in_background<T: Send + 'static>(value: T) {
    spawn_blocking(move || drop(value));
}
