//! The agent that brings discovery's news to the edge node's own machine.

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

use super::list::{ServerList, Told};
use super::{accept, held, loopback_listener, Metered, Traffic};

/// The longest wait that a watch may ask for, in milliseconds.
const WAIT_MOST_MS: u64 = 60_000;

/// The agent: a list, told whole or by changes, and times of silence.
pub struct Agent {
    list: Mutex<ServerList>,
    version: watch::Sender<u64>,
    silent: watch::Sender<bool>,
    indented: bool,
    /// The text of the whole list, made once for a version.
    whole: Mutex<Option<(u64, Bytes)>>,
    traffic: Arc<Traffic>,
    whole_told: AtomicU64,
    changes_told: AtomicU64,
}

/// What a call asks for.
#[derive(Debug, Default, PartialEq, Eq)]
struct Call {
    after: Option<u64>,
    wait: Duration,
}

impl Call {
    /// None where a value is no number, or the wait too long.
    fn read(query: &str) -> Option<Call> {
        let mut call = Call::default();
        for (key, value) in query.split('&').filter_map(|part| part.split_once('=')) {
            match key {
                "after" => call.after = Some(value.parse().ok()?),
                "wait_ms" => {
                    let ms = value.parse().ok().filter(|ms| *ms <= WAIT_MOST_MS)?;
                    call.wait = Duration::from_millis(ms);
                }
                _ => {}
            }
        }
        Some(call)
    }
}

impl Agent {
    /// An agent that holds this list, on a port of its own, served as long as the runtime lives.
    pub async fn start(list: ServerList, indented: bool) -> io::Result<(Arc<Self>, SocketAddr)> {
        let listener = loopback_listener().await?;
        let address = listener.local_addr()?;
        let agent = Arc::new(Agent {
            version: watch::channel(list.version()).0,
            list: Mutex::new(list),
            silent: watch::channel(false).0,
            indented,
            whole: Mutex::default(),
            traffic: Arc::default(),
            whole_told: AtomicU64::new(0),
            changes_told: AtomicU64::new(0),
        });
        tokio::spawn(agent.clone().serve(listener));
        Ok((agent, address))
    }

    /// The bytes that it has received and sent.
    pub fn traffic(&self) -> super::Bytes {
        self.traffic.now()
    }

    /// How many times it has told the whole list, and changes (none among them, too).
    pub fn told(&self) -> (u64, u64) {
        (self.whole_told.load(Ordering::Relaxed), self.changes_told.load(Ordering::Relaxed))
    }

    /// Changes its list and wakes the watches.
    pub fn update(&self, change: impl FnOnce(&mut ServerList)) {
        let mut list = held(&self.list);
        change(&mut list);
        self.version.send_replace(list.version());
    }

    /// Makes a change of the list's own choice, now.
    pub fn change(&self) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.update(|list| list.change(now.as_millis() as u64));
    }

    /// Whether calls go without an answer. Those that wait then are answered once it is over.
    pub fn silence(&self, silent: bool) {
        self.silent.send_replace(silent);
    }

    /// The text of the whole list, made now if it is not yet.
    pub fn whole_text(&self) -> serde_json::Result<Bytes> {
        let list = held(&self.list);
        let mut kept = held(&self.whole);
        if let Some((version, text)) = &*kept {
            if *version == list.version() {
                return Ok(text.clone());
            }
        }
        let (version, told) = (list.version(), list.whole());
        // Making the text takes long, and changes go on meanwhile.
        drop(list);
        let text = self.text(&told)?;
        *kept = Some((version, text.clone()));
        Ok(text)
    }

    fn text(&self, told: &Told) -> serde_json::Result<Bytes> {
        let text = if self.indented { serde_json::to_vec_pretty(told) } else { serde_json::to_vec(told) };
        text.map(Bytes::from)
    }

    async fn serve(self: Arc<Self>, listener: TcpListener) {
        loop {
            let stream = Metered { stream: accept(&listener).await, traffic: self.traffic.clone() };
            let agent = self.clone();
            tokio::spawn(async move {
                let service = service_fn(|request| agent.answer(request));
                // It ends in an error where the edge node gives up.
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    }

    async fn answer(
        self: &Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let result = match (request.method(), request.uri().path()) {
            (&Method::GET, "/discovery/hosts") => match Call::read(request.uri().query().unwrap_or("")) {
                Some(call) => self.tell(call).await,
                None => Err(StatusCode::BAD_REQUEST),
            },
            (_, "/discovery/hosts") => Err(StatusCode::METHOD_NOT_ALLOWED),
            _ => Err(StatusCode::NOT_FOUND),
        };
        let mut response = Response::default();
        match result {
            Ok(text) => *response.body_mut() = Full::new(text),
            Err(status) => *response.status_mut() = status,
        }
        Ok(response)
    }

    async fn tell(self: &Arc<Self>, call: Call) -> Result<Bytes, StatusCode> {
        if let Some(after) = call.after {
            // Both senders live as long as the agent does. After a version that is none of its own there is
            // nothing to wait for.
            let newer = async {
                let _ = self.version.subscribe().wait_for(|version| *version != after).await;
            };
            let _ = timeout(call.wait, newer).await;
        }
        let _ = self.silent.subscribe().wait_for(|silent| !silent).await;
        if let Some(after) = call.after {
            let list = held(&self.list);
            if list.leads_from(after) {
                let told = list.changes(after);
                drop(list);
                self.changes_told.fetch_add(1, Ordering::Relaxed);
                return self.text(&told).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR);
            }
        }
        self.whole_told.fetch_add(1, Ordering::Relaxed);
        let agent = self.clone();
        // A long list takes some tens of milliseconds.
        let text = tokio::task::spawn_blocking(move || agent.whole_text()).await;
        text.ok().and_then(Result::ok).ok_or(StatusCode::INTERNAL_SERVER_ERROR)
    }
}
