//! A fake of the discovery agent, which serves the endpoint list on the edge node's own machine.

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
/// The longest wait that a watch may ask for, in milliseconds; a request for a longer one gets status 400.
const MAX_WAIT_MS: u64 = 60_000;

/// The messages that the agent has sent since it started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MessageCounts {
    /// Messages with the whole list.
    pub snapshots: u64,
    /// Messages with changes only, among them empty ones.
    pub deltas: u64,
}

/// The JSON text of the snapshot of one version, kept so that it is encoded only once.
struct SnapshotText {
    version: u64,
    text: Bytes,
}

/// A fake discovery agent on a loopback port.
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

/// The query of a request for the endpoint list.
#[derive(Debug, Default, PartialEq, Eq)]
struct ListQuery {
    /// The version that the client has; `None` if it asks for a snapshot.
    after: Option<u64>,
    /// The longest time to wait for another version than that of the client.
    wait: Duration,
}

impl ListQuery {
    /// Parses a query. Returns `None` if a value is not a number or the wait exceeds [`MAX_WAIT_MS`].
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
    /// Starts an agent with this list on a free port of 127.0.0.1. It runs until the runtime ends.
    ///
    /// If `indented` is set, the agent sends its JSON with line breaks and indentation.
    ///
    /// # Errors
    /// Returns an error if the agent can't listen on the port.
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

    /// Returns the address on which the agent listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the bytes that the agent has received and sent since it started.
    pub fn byte_counts(&self) -> ByteCounts {
        self.traffic.byte_counts()
    }

    /// Returns the number of messages that the agent has sent since it started.
    pub fn message_counts(&self) -> MessageCounts {
        MessageCounts {
            snapshots: self.snapshots_sent.load(Ordering::Relaxed),
            deltas: self.deltas_sent.load(Ordering::Relaxed),
        }
    }

    /// Changes the agent's list and wakes the waiting watches.
    pub fn update(&self, change: impl FnOnce(&mut EndpointList)) {
        let mut list = lock(&self.list);
        change(&mut list);
        self.version.send_replace(list.version());
    }

    /// Makes the next change of the list, with the current time as the start of a new endpoint.
    pub fn make_next_change(&self) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.update(|list| list.make_next_change(now.as_millis() as u64));
    }

    /// Sets whether the agent withholds its responses. It sends the withheld ones once it is not silent.
    pub fn set_silent(&self, silent: bool) {
        self.silent.send_replace(silent);
    }

    /// Returns the JSON text of the current snapshot, from the cache if it holds this version.
    ///
    /// # Errors
    /// Returns an error if the snapshot can't be encoded as JSON.
    pub fn snapshot_text(&self) -> serde_json::Result<Bytes> {
        let list = lock(&self.list);
        let mut cached = lock(&self.snapshot_text);
        if let Some(cached) = &*cached {
            if cached.version == list.version() {
                return Ok(cached.text.clone());
            }
        }
        let snapshot = list.snapshot();
        // Encoding takes long, and the list stays open to changes meanwhile.
        drop(list);
        let text = self.to_json(&snapshot)?;
        *cached = Some(SnapshotText { version: snapshot.version, text: text.clone() });
        Ok(text)
    }

    fn to_json(&self, message: &ListMessage) -> serde_json::Result<Bytes> {
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
                // An error here means that the edge node closed the connection early; there is nothing to do.
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

    /// Returns the JSON text of a delta, or of a snapshot if no delta leads on from the client's version.
    ///
    /// Before that, waits as long as the query asks for, and then until the agent is not silent.
    async fn list_message(self: &Arc<Self>, query: ListQuery) -> Result<Bytes, StatusCode> {
        if let Some(after) = query.after {
            self.wait_for_other_version(after, query.wait).await;
        }
        // Waiting fails only if the agent has been dropped.
        let _ = self.silent.subscribe().wait_for(|silent| !silent).await;
        if let Some(delta) = query.after.and_then(|after| self.delta_from(after)) {
            self.deltas_sent.fetch_add(1, Ordering::Relaxed);
            return self.to_json(&delta).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR);
        }
        self.snapshots_sent.fetch_add(1, Ordering::Relaxed);
        let agent = self.clone();
        // Encoding a long list takes some tens of milliseconds, and would block the tasks of this thread.
        let text = tokio::task::spawn_blocking(move || agent.snapshot_text()).await;
        text.ok().and_then(Result::ok).ok_or(StatusCode::INTERNAL_SERVER_ERROR)
    }

    /// Waits at most `wait` until the list has another version than this one, older or newer.
    async fn wait_for_other_version(&self, version: u64, wait: Duration) {
        let mut versions = self.version.subscribe();
        let other_version = versions.wait_for(|current| *current != version);
        // The sender lives as long as the agent, so the only possible error is the timeout.
        let _ = timeout(wait, other_version).await;
    }

    /// Returns the changes after this version, or `None` if the list no longer holds all of them.
    fn delta_from(&self, version: u64) -> Option<ListMessage> {
        let list = lock(&self.list);
        list.has_delta_from(version).then(|| list.delta_from(version))
    }
}
