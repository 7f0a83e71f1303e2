//! A fake of the discovery agent that runs on the edge node's own machine.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::timeout;

use super::endpoint_list::{EndpointList, ListMessage};
use super::listener::{accept, listen_on_loopback};
use super::lock;
use super::traffic::{ByteCounts, MeteredStream, Traffic};

const LIST_PATH: &str = "/discovery/hosts";
/// The longest wait that a watch may ask for, in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;

/// Messages sent so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MessageCounts {
    /// Snapshots.
    pub snapshots: u64,
    /// Deltas, also empty ones.
    pub deltas: u64,
}

/// The text of a snapshot, written once for a version.
struct SnapshotText {
    version: u64,
    text: Bytes,
}

/// The discovery agent.
pub struct DiscoveryAgent {
    address: SocketAddr,
    list: Mutex<EndpointList>,
    version: watch::Sender<u64>,
    silent: watch::Sender<bool>,
    indented: bool,
    snapshot_text: Mutex<Option<SnapshotText>>,
    traffic: Arc<Traffic>,
    snapshots_sent: AtomicU64,
    deltas_sent: AtomicU64,
}

/// What a call asks for.
#[derive(Debug, Default, PartialEq, Eq)]
struct ListQuery {
    /// The version that the caller has.
    after: Option<u64>,
    /// How long to wait for a newer one.
    wait: Duration,
}

impl ListQuery {
    /// Reads the query; none where a value is no number, or the wait too long.
    fn parse(text: &str) -> Option<ListQuery> {
        let mut query = ListQuery::default();
        for (key, value) in text.split('&').filter_map(|part| part.split_once('=')) {
            match key {
                "after" => query.after = Some(value.parse().ok()?),
                "wait_ms" => {
                    let wait_ms = value.parse().ok().filter(|wait_ms| *wait_ms <= MAX_WAIT_MS)?;
                    query.wait = Duration::from_millis(wait_ms);
                }
                _ => {}
            }
        }
        Some(query)
    }
}

impl DiscoveryAgent {
    /// Starts an agent with this list on a free port; it runs as long as the runtime.
    ///
    /// # Errors
    /// If it can't listen.
    pub async fn start(list: EndpointList, indented: bool) -> io::Result<Arc<Self>> {
        let listener = listen_on_loopback().await?;
        let agent = Arc::new(DiscoveryAgent {
            address: listener.local_addr()?,
            version: watch::channel(list.version()).0,
            list: Mutex::new(list),
            silent: watch::channel(false).0,
            indented,
            snapshot_text: Mutex::default(),
            traffic: Arc::default(),
            snapshots_sent: AtomicU64::new(0),
            deltas_sent: AtomicU64::new(0),
        });
        tokio::spawn(agent.clone().serve(listener));
        Ok(agent)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The bytes that it has received and sent.
    pub fn byte_counts(&self) -> ByteCounts {
        self.traffic.byte_counts()
    }

    /// The messages that it has sent.
    pub fn message_counts(&self) -> MessageCounts {
        MessageCounts {
            snapshots: self.snapshots_sent.load(Ordering::Relaxed),
            deltas: self.deltas_sent.load(Ordering::Relaxed),
        }
    }

    /// Changes its list and wakes the watches.
    pub fn update(&self, change: impl FnOnce(&mut EndpointList)) {
        let mut list = lock(&self.list);
        change(&mut list);
        self.version.send_replace(list.version());
    }

    /// Makes the list's next change now.
    pub fn make_next_change(&self) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.update(|list| list.make_next_change(now.as_millis() as u64));
    }

    /// Sets whether it withholds its responses; those withheld are sent once it is not silent any more.
    pub fn set_silent(&self, silent: bool) {
        self.silent.send_replace(silent);
    }

    /// The text of the snapshot, written now unless it is there already.
    ///
    /// # Errors
    /// If it can't be written as JSON.
    pub fn snapshot_text(&self) -> serde_json::Result<Bytes> {
        let list = lock(&self.list);
        let mut cached = lock(&self.snapshot_text);
        if let Some(cached) = &*cached {
            if cached.version == list.version() {
                return Ok(cached.text.clone());
            }
        }
        let snapshot = list.snapshot();
        // Writing the text takes long, and changes go on meanwhile.
        drop(list);
        let text = self.write(&snapshot)?;
        *cached = Some(SnapshotText { version: snapshot.version, text: text.clone() });
        Ok(text)
    }

    fn write(&self, message: &ListMessage) -> serde_json::Result<Bytes> {
        let text =
            if self.indented { serde_json::to_vec_pretty(message)? } else { serde_json::to_vec(message)? };
        Ok(Bytes::from(text))
    }

    async fn serve(self: Arc<Self>, listener: TcpListener) {
        loop {
            let stream = MeteredStream { stream: accept(&listener).await, traffic: self.traffic.clone() };
            let agent = self.clone();
            tokio::spawn(async move {
                let service = service_fn(|request| agent.respond(request));
                // This fails where the edge node closes the connection early.
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    }

    async fn respond(
        self: &Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let result = match (request.method(), request.uri().path()) {
            (&Method::GET, LIST_PATH) => match ListQuery::parse(request.uri().query().unwrap_or("")) {
                Some(query) => self.list_message(query).await,
                None => Err(StatusCode::BAD_REQUEST),
            },
            (_, LIST_PATH) => Err(StatusCode::METHOD_NOT_ALLOWED),
            _ => Err(StatusCode::NOT_FOUND),
        };
        let mut response = Response::default();
        match result {
            Ok(text) => *response.body_mut() = Full::new(text),
            Err(status) => *response.status_mut() = status,
        }
        Ok(response)
    }

    /// Waits as long as the query says, and then for the end of a silence, and writes a delta or a snapshot.
    async fn list_message(self: &Arc<Self>, query: ListQuery) -> Result<Bytes, StatusCode> {
        if let Some(after) = query.after {
            self.wait_for_other_version(after, query.wait).await;
        }
        // This fails only once the agent has ended.
        let _ = self.silent.subscribe().wait_for(|silent| !silent).await;
        if let Some(delta) = query.after.and_then(|after| self.delta_from(after)) {
            self.deltas_sent.fetch_add(1, Ordering::Relaxed);
            return self.write(&delta).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR);
        }
        self.snapshots_sent.fetch_add(1, Ordering::Relaxed);
        let agent = self.clone();
        // A long list takes some tens of milliseconds.
        let text = tokio::task::spawn_blocking(move || agent.snapshot_text()).await;
        text.ok().and_then(Result::ok).ok_or(StatusCode::INTERNAL_SERVER_ERROR)
    }

    /// Waits until the list has another version, older or newer, but no longer than this.
    async fn wait_for_other_version(&self, version: u64, wait: Duration) {
        let mut versions = self.version.subscribe();
        let other_version = versions.wait_for(|current| *current != version);
        // The sender lives as long as the agent, so only the wait's end can fail.
        let _ = timeout(wait, other_version).await;
    }

    fn delta_from(&self, version: u64) -> Option<ListMessage> {
        let list = lock(&self.list);
        list.has_delta_from(version).then(|| list.delta_from(version))
    }
}
