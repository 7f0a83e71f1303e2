//! Applies endpoint lists of any length. A short list is applied at once. A long list is prepared on another
//! thread and published in parts.
//!
//! Each list updates two places: the directory (upstream's `KnownEndpoints`) decides where an endpoint can be
//! reached, and the decision engine's table decides which endpoints are selected. For a long list, `publish`
//! updates the directory at once and the table in parts. Endpoints that were known before stay reachable
//! until the decision engine has been notified of the last part.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use tokio::sync::{watch, Mutex};
use tokio::task::{spawn_blocking, spawn_local, yield_now, JoinError};

use crate::decision::{EndpointEntry, EndpointId, EndpointUpdateKind, Event};
use crate::net::discovery::delta::split_into_parts;
use crate::net::discovery::directory::EndpointDirectory;
use crate::net::discovery::endpoints::Endpoints;
use crate::net::discovery::labels::PlacementLabels;
use crate::net::discovery::parser::{EndpointList, ListFaults};
use crate::net::discovery::snapshot::AppliedList;
use crate::net::event_sink::EventSink;

/// Maximum length, in bytes, of the text of a list that is applied at once. Requests wait while a list is
/// applied, so a longer one is prepared on another thread.
pub const MAX_INLINE_BYTES: usize = 64 * 1024;
/// Maximum number of endpoints that are dropped on the event loop's thread.
const MAX_INLINE_DROP: usize = 500;

/// An endpoint list as received from discovery.
pub struct ReceivedList {
    /// The parsed list.
    pub list: EndpointList,
    /// Whether the list is longer than [`MAX_INLINE_BYTES`], so that it is prepared on another thread.
    pub is_long: bool,
}

impl ReceivedList {
    /// Parses the text of a list. A list longer than [`MAX_INLINE_BYTES`] is parsed on another thread.
    ///
    /// # Errors
    /// The outer error is returned if that thread fails, the inner one if the text is not a valid list.
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

/// The outcome of a list that was passed to [`ListApplier::apply`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The list was applied.
    Applied,
    /// The list was dropped, because discovery has moved or a newer list was applied since it was received.
    Superseded,
}

/// A point in the order in which this node applies lists. Both counts are the node's own, whereas the version
/// of a list is counted by discovery.
#[derive(Clone, Copy, PartialEq)]
struct ApplyPoint {
    move_count: u64,
    applied_count: u64,
}

/// The result of applying a long list to the endpoints known now, computed on another thread while requests
/// are served.
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
        let parts = split_into_parts(&applied.endpoints.delta_since(known));
        PreparedUpdate { endpoints: applied.endpoints, stale: applied.stale, faults: applied.faults, parts }
    }
}

/// Applies lists one at a time, and holds the version of the newest list applied.
pub struct ListApplier {
    directory: Rc<dyn EndpointDirectory>,
    labels: Arc<PlacementLabels>,
    /// The newest version applied. `None` until a list was applied (the list from the configuration is
    /// applied at the start), and after a move, because each discovery counts its own versions.
    version: Cell<Option<u64>>,
    /// The number of moves of discovery since the start. A response to a call that was made before a move is
    /// not valid after it.
    move_count: Cell<u64>,
    applied_count: Cell<u64>,
    /// Held while a long list is prepared and published, so that this is done for one long list at a time.
    long_list_lock: Mutex<()>,
    /// Whether the decision engine is being notified of a long list in parts.
    is_publishing: watch::Sender<bool>,
    /// Whether a response of discovery was applied since the start, even one without a change.
    first_response: watch::Sender<bool>,
}

impl ListApplier {
    /// Creates an applier that has not applied a list yet.
    pub fn new(directory: Rc<dyn EndpointDirectory>, labels: PlacementLabels) -> Rc<Self> {
        Rc::new(ListApplier {
            directory,
            labels: Arc::new(labels),
            version: Cell::default(),
            move_count: Cell::default(),
            applied_count: Cell::default(),
            long_list_lock: Mutex::default(),
            is_publishing: watch::channel(false).0,
            first_response: watch::channel(false).0,
        })
    }

    /// Returns the newest version applied, as counted by discovery at its present address. Returns `None` if
    /// no list of that address was applied yet.
    pub fn version(&self) -> Option<u64> {
        self.version.get()
    }

    /// Returns the number of moves of discovery since the start.
    pub fn move_count(&self) -> u64 {
        self.move_count.get()
    }

    /// Records that discovery has moved to another address, of which no version is known yet.
    pub fn discovery_moved(&self) {
        self.move_count.set(self.move_count.get() + 1);
        self.version.set(None);
    }

    /// Records that discovery has reached `version`, without applying a list. A version older than the known
    /// one does not replace it. In either case `wait_for_first_response` returns from then on.
    pub fn record_version(&self, version: u64) {
        self.version.set(self.version.get().max(Some(version)));
        self.signal_first_response();
    }

    /// Waits until the first response of discovery is applied, even if it contains no change. Returns at once
    /// if a response was applied since the start.
    pub async fn wait_for_first_response(&self) {
        // The wait cannot fail: `self` owns the sender.
        let _ = self.first_response.subscribe().wait_for(|&is_received| is_received).await;
    }

    fn signal_first_response(&self) {
        self.first_response.send_if_modified(|is_received| !std::mem::replace(is_received, true));
    }

    fn apply_point(&self) -> ApplyPoint {
        ApplyPoint { move_count: self.move_count.get(), applied_count: self.applied_count.get() }
    }

    /// Returns whether a list of this version that was received at this point is out of date, because
    /// discovery has moved or a newer list was applied since.
    fn is_superseded(&self, received_at: ApplyPoint, version: u64) -> bool {
        let discovery_moved = received_at.move_count != self.move_count.get();
        let newer_list_applied = received_at != self.apply_point() && Some(version) < self.version.get();
        discovery_moved || newer_list_applied
    }

    /// Applies a list of any length.
    ///
    /// # Errors
    /// Returns an error if the thread that prepares a long list fails.
    pub async fn apply(
        self: &Rc<Self>,
        events: &Rc<dyn EventSink>,
        received: ReceivedList,
        kind: EndpointUpdateKind,
    ) -> Result<ApplyOutcome, JoinError> {
        let received_at = self.apply_point();
        if received.is_long {
            // A separate task applies the list: a move of discovery aborts the watch that received it, and
            // the list would be applied in part only.
            let applier = self.clone();
            return spawn_local(applier.apply_long(events.clone(), received.list, kind, received_at)).await?;
        }
        // Waits until a long list is published completely: its later parts would overwrite a list that is
        // applied between two of them.
        if *self.is_publishing.borrow() {
            let _ = self.is_publishing.subscribe().wait_for(|&is_publishing| !is_publishing).await;
        }
        if self.is_superseded(received_at, received.list.version) {
            return Ok(ApplyOutcome::Superseded);
        }
        self.apply_inline(events.as_ref(), &received.list, kind);
        Ok(ApplyOutcome::Applied)
    }

    /// Prepares a long list on another thread and publishes it. If the endpoints change while the list is
    /// being prepared, the preparation is repeated.
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
            // The update was prepared from `known`. If the endpoints have changed since, publishing it would
            // undo the change.
            if !self.directory.is_current(&known) || self.is_superseded(received_at, list.version) {
                drop_in_background((known, update));
                continue;
            }
            let version = list.version;
            log_faults(list.faults());
            log_faults(&update.faults);
            drop_in_background((list, known));
            self.publish(events.as_ref(), update, received_at.move_count, version).await;
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

    /// Replaces the endpoints in the directory, and notifies the decision engine of the change in parts.
    async fn publish(&self, events: &dyn EventSink, update: PreparedUpdate, move_count: u64, version: u64) {
        self.is_publishing.send_replace(true);
        self.directory.replace(update.endpoints, &update.stale);
        for entries in update.parts {
            events.send(Event::EndpointsUpdated { kind: EndpointUpdateKind::Delta, entries });
            // Between two parts the runtime runs the requests that are ready and reads what has arrived on
            // sockets.
            yield_now().await;
        }
        drop_in_background(self.directory.finish_replacement());
        self.is_publishing.send_replace(false);
        // If discovery has moved meanwhile, the version of this list means nothing at the new address.
        let has_not_moved = self.move_count.get() == move_count;
        self.record_applied(if has_not_moved { Some(version) } else { self.version.get() });
        self.signal_first_response();
    }

    /// Applies a list of any length on the event loop's thread. Requests wait meanwhile.
    pub fn apply_inline(&self, events: &dyn EventSink, list: &EndpointList, kind: EndpointUpdateKind) {
        log_faults(list.faults());
        let entries = if kind == EndpointUpdateKind::Delta {
            let applied = self.directory.apply_delta(list.entries(), &self.labels);
            log_faults(&applied.faults);
            applied.entries
        } else {
            self.replace_inline(list, kind)
        };
        self.record_applied(Some(list.version));
        events.send(Event::EndpointsUpdated { kind, entries });
        if kind != EndpointUpdateKind::StaleSnapshot {
            self.signal_first_response();
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

    fn record_applied(&self, version: Option<u64>) {
        self.version.set(version);
        self.applied_count.set(self.applied_count.get() + 1);
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

/// Drops a value that may hold tens of thousands of entries on another thread, because requests would wait
/// while they are freed.
fn drop_in_background<T: Send + 'static>(value: T) {
    spawn_blocking(move || drop(value));
}
