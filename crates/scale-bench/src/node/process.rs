//! The edge node's process: its start, its readiness, its log and its end.

use std::net::SocketAddr;
use std::path::Path;
use std::process::{ExitStatus, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Empty;
use hyper::client::conn::http1;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use rustix::process::{kill_process, Pid, Signal};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::{Child, ChildStderr, Command};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout, Instant};

use super::usage::Usage;
use crate::error::BenchError;

/// Comes before the address in the log line that says where the edge node listens.
const LISTENING: &str = "listening on ";
/// A log line with this tells of a panic.
const PANICKED: &str = "panicked";
/// Pause between readiness checks.
const READINESS_INTERVAL: Duration = Duration::from_millis(2);
/// How long one readiness check may take: an edge node may accept its connection and be ready only later.
const READINESS_TIMEOUT: Duration = Duration::from_millis(500);
/// How long the log of a process that has ended is still read.
const LOG_DRAIN_TIME: Duration = Duration::from_secs(1);
/// What is kept of a log line, in characters.
const MAX_LOG_LINE: usize = 200;

/// What is kept of the edge node's log.
#[derive(Default)]
struct LogSummary {
    line_count: u64,
    last_line: String,
    /// The first line that tells of a panic.
    panic_line: Option<String>,
}

/// An edge node's process, killed when dropped.
pub struct Process {
    child: Child,
    log: Arc<Mutex<LogSummary>>,
    log_reader: Option<JoinHandle<()>>,
}

/// An edge node that has not reported yet where it listens.
pub struct StartingNode {
    address: oneshot::Receiver<SocketAddr>,
    process_id: u32,
    log: Arc<Mutex<LogSummary>>,
    started_at: Instant,
}

/// An edge node that listens, as seen from outside.
pub struct EdgeNode {
    process_id: u32,
    log: Arc<Mutex<LogSummary>>,
    started_at: Instant,
    /// Where it listens.
    pub address: SocketAddr,
}

/// A process that was just started: its end and its readiness are waited for apart.
pub struct StartedProcess {
    /// The process.
    pub process: Process,
    /// The node in it.
    pub node: StartingNode,
}

impl StartedProcess {
    /// Starts the program with the configuration in this file.
    ///
    /// # Errors
    /// If the program can't be run.
    pub fn start(program: &Path, configuration: &Path) -> Result<StartedProcess, BenchError> {
        let started_at = Instant::now();
        let mut child = Command::new(program)
            .env("PROXY_CONFIG", configuration)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .map_err(|source| BenchError::File { path: program.display().to_string(), source })?;
        let (Some(process_id), Some(stderr)) = (child.id(), child.stderr.take()) else {
            return Err(BenchError::EdgeNode("has no log".into()));
        };
        let log = Arc::new(Mutex::new(LogSummary::default()));
        let (address_sender, address) = oneshot::channel();
        let log_reader = tokio::spawn(read_log(stderr, log.clone(), address_sender));
        let process = Process { child, log: log.clone(), log_reader: Some(log_reader) };
        let node = StartingNode { address, process_id, log, started_at };
        Ok(StartedProcess { process, node })
    }
}

impl Process {
    /// Waits until the process ends by itself, and returns that as an error.
    pub async fn ended(&mut self) -> BenchError {
        let status = self.child.wait().await;
        if let Some(log_reader) = self.log_reader.take() {
            // Its last lines may not have been read yet. A process that it has started may keep the pipe open.
            let _ = timeout(LOG_DRAIN_TIME, log_reader).await;
        }
        match status {
            Ok(status) => {
                let last_line = lock(&self.log).last_line.clone();
                BenchError::EdgeNode(format!("has ended by itself, {status}: {last_line}"))
            }
            Err(source) => BenchError::System { what: "cannot wait for the edge node", source },
        }
    }

    /// Sends it a signal. It may have ended.
    pub fn signal(&self, signal: Signal) {
        let id = self.child.id().and_then(|id| Pid::from_raw(id as i32));
        if let Some(id) = id {
            let _ = kill_process(id, signal);
        }
    }

    /// Waits until the process ends by itself; none if it has not by then.
    pub async fn exit_status(&mut self, limit: Duration) -> Option<ExitStatus> {
        timeout(limit, self.child.wait()).await.ok()?.ok()
    }

    /// Waits until the log of a process that has ended is read, and returns the first line that tells of a panic.
    pub async fn panic_line(&mut self) -> Option<String> {
        if let Some(log_reader) = self.log_reader.take() {
            let _ = timeout(LOG_DRAIN_TIME, log_reader).await;
        }
        lock(&self.log).panic_line.clone()
    }

    /// Kills the process and waits for its end.
    pub async fn kill(mut self) {
        // It may have ended by itself.
        let _ = self.child.kill().await;
    }
}

/// Reads the log to its end: a process that writes to a pipe that nobody reads is held up.
async fn read_log(stderr: ChildStderr, log: Arc<Mutex<LogSummary>>, address: oneshot::Sender<SocketAddr>) {
    let mut lines = BufReader::new(stderr).lines();
    let mut address_sender = Some(address);
    while let Ok(Some(line)) = lines.next_line().await {
        if let Some(address) = listen_address(&line) {
            if let Some(sender) = address_sender.take() {
                // The run may have ended meanwhile.
                let _ = sender.send(address);
            }
        }
        let mut log = lock(&log);
        log.line_count += 1;
        if log.panic_line.is_none() && line.contains(PANICKED) {
            log.panic_line = Some(line.chars().take(MAX_LOG_LINE).collect());
        }
        log.last_line = line.chars().take(MAX_LOG_LINE).collect();
    }
}

fn listen_address(line: &str) -> Option<SocketAddr> {
    let (_, address) = line.split_once(LISTENING)?;
    address.trim().parse().ok()
}

impl StartingNode {
    /// Waits until the node reports where it listens. If it ends instead, [`Process::ended`] reports that.
    ///
    /// # Errors
    /// If that takes longer than the limit.
    pub async fn listens(self, limit: Duration) -> Result<EdgeNode, BenchError> {
        let StartingNode { address, process_id, log, started_at } = self;
        let reported = async {
            match address.await {
                Ok(address) => address,
                Err(_) => std::future::pending().await,
            }
        };
        match timeout(limit, reported).await {
            Ok(address) => Ok(EdgeNode { process_id, log, address, started_at }),
            Err(_) => Err(BenchError::EdgeNode(format!("does not listen after {limit:?}"))),
        }
    }
}

impl EdgeNode {
    /// Waits until `GET /up` is answered with 200, and returns how long that took from the start.
    ///
    /// # Errors
    /// If that takes longer than the limit.
    pub async fn ready(&self, limit: Duration) -> Result<Duration, BenchError> {
        loop {
            if let Ok(Some(StatusCode::OK)) = timeout(READINESS_TIMEOUT, self.readiness_status()).await {
                return Ok(self.started_at.elapsed());
            }
            if self.started_at.elapsed() > limit {
                return Err(BenchError::EdgeNode(format!("is not ready after {limit:?}")));
            }
            sleep(READINESS_INTERVAL).await;
        }
    }

    async fn readiness_status(&self) -> Option<StatusCode> {
        let stream = TcpStream::connect(self.address).await.ok()?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        let connection = tokio::spawn(connection);
        let request = Request::get("/up").header("Host", "service.internal");
        let response = sender.send_request(request.body(Empty::<Bytes>::new()).ok()?).await;
        connection.abort();
        Some(response.ok()?.status())
    }

    /// What it has used so far.
    ///
    /// # Errors
    /// If it has ended.
    pub fn usage(&self) -> Result<Usage, BenchError> {
        Usage::of(self.process_id)
    }

    /// How many lines it has written to its log.
    pub fn log_lines(&self) -> u64 {
        lock(&self.log).line_count
    }
}

fn lock(log: &Mutex<LogSummary>) -> std::sync::MutexGuard<'_, LogSummary> {
    log.lock().unwrap_or_else(PoisonError::into_inner)
}
