//! Starts the edge node's process, waits for its readiness, reads its log and ends it.

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

/// Text before the address in the log line that reports where the edge node listens.
const LISTENING_PREFIX: &str = "listening on ";
/// Text that marks a log line as the report of a panic.
const PANIC_MARKER: &str = "panicked";
/// Pause between readiness checks.
const READINESS_INTERVAL: Duration = Duration::from_millis(2);
/// Time limit of one readiness check. An edge node may accept the connection of a check long before it is
/// ready.
const READINESS_TIMEOUT: Duration = Duration::from_millis(500);
/// Time limit for reading the rest of the log once the process has exited.
const LOG_DRAIN_TIME: Duration = Duration::from_secs(1);
/// Maximum number of characters that are kept of a log line.
const MAX_LOG_LINE_LENGTH: usize = 200;

/// What is kept of the edge node's log. Lines are cut off after [`MAX_LOG_LINE_LENGTH`] characters.
#[derive(Default)]
struct LogSummary {
    line_count: u64,
    last_line: String,
    /// The first line that reports a panic.
    panic_line: Option<String>,
}

/// An edge node's process. It is killed when this is dropped.
pub struct Process {
    child: Child,
    log: Arc<Mutex<LogSummary>>,
    log_reader: Option<JoinHandle<()>>,
}

/// An edge node that has not reported its listen address yet.
pub struct StartingNode {
    address: oneshot::Receiver<SocketAddr>,
    process_id: u32,
    log: Arc<Mutex<LogSummary>>,
    started_at: Instant,
}

/// An edge node that listens for connections.
pub struct EdgeNode {
    process_id: u32,
    log: Arc<Mutex<LogSummary>>,
    started_at: Instant,
    /// The address at which the node listens.
    pub address: SocketAddr,
}

/// A process that was just started, in two parts, so that its exit and its readiness can be waited for at the
/// same time.
pub struct StartedProcess {
    /// The process, to wait for its exit.
    pub process: Process,
    /// The edge node in the process, to wait for its readiness.
    pub node: StartingNode,
}

impl StartedProcess {
    /// Starts `program` with the path of its configuration file in the environment variable `PROXY_CONFIG`,
    /// and starts to read its log.
    ///
    /// # Errors
    /// Returns an error if the program can't be started.
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
            return Err(BenchError::EdgeNode("has no process id or no pipe for its log".into()));
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
    /// Waits until the process exits by itself, without a time limit, and returns an error with its exit
    /// status and last log line. Before it returns, it waits until the log is read to its end, at most
    /// [`LOG_DRAIN_TIME`].
    pub async fn unexpected_exit(&mut self) -> BenchError {
        let status = self.child.wait().await;
        if let Some(log_reader) = self.log_reader.take() {
            // The last lines of the log may not have been read yet. The time limit is needed because a
            // process that the edge node's program has started may keep the pipe open.
            let _ = timeout(LOG_DRAIN_TIME, log_reader).await;
        }
        match status {
            Ok(status) => {
                let last_line = lock(&self.log).last_line.clone();
                BenchError::EdgeNode(format!("exited unexpectedly, {status}, last log line: {last_line}"))
            }
            Err(source) => BenchError::System { operation: "cannot wait for the edge node's exit", source },
        }
    }

    /// Sends a signal to the process. Does nothing if the process has exited.
    pub fn signal(&self, signal: Signal) {
        let id = self.child.id().and_then(|id| Pid::from_raw(id as i32));
        if let Some(id) = id {
            let _ = kill_process(id, signal);
        }
    }

    /// Waits at most `limit` until the process exits, and returns its exit status. Returns `None` if the
    /// process has not exited by then or can't be waited for.
    pub async fn wait_for_exit(&mut self, limit: Duration) -> Option<ExitStatus> {
        timeout(limit, self.child.wait()).await.ok()?.ok()
    }

    /// Waits until the log of a process that has exited is read, at most [`LOG_DRAIN_TIME`], and returns the
    /// first line that reports a panic. Returns `None` if there is none.
    pub async fn panic_line(&mut self) -> Option<String> {
        if let Some(log_reader) = self.log_reader.take() {
            let _ = timeout(LOG_DRAIN_TIME, log_reader).await;
        }
        lock(&self.log).panic_line.clone()
    }

    /// Kills the process and waits until it has exited.
    pub async fn kill(mut self) {
        // Killing fails if the process has exited by itself.
        let _ = self.child.kill().await;
    }
}

/// Reads the log to its end, and sends the first listen address that it reports to `address`. All lines are
/// read because a process blocks when it writes to a full pipe.
async fn read_log(stderr: ChildStderr, log: Arc<Mutex<LogSummary>>, address: oneshot::Sender<SocketAddr>) {
    let mut lines = BufReader::new(stderr).lines();
    let mut address_sender = Some(address);
    while let Ok(Some(line)) = lines.next_line().await {
        if let Some(address) = listen_address(&line) {
            if let Some(sender) = address_sender.take() {
                // Sending fails if the run has ended in the meantime, and then the address is not needed.
                let _ = sender.send(address);
            }
        }
        let mut log = lock(&log);
        log.line_count += 1;
        if log.panic_line.is_none() && line.contains(PANIC_MARKER) {
            log.panic_line = Some(line.chars().take(MAX_LOG_LINE_LENGTH).collect());
        }
        log.last_line = line.chars().take(MAX_LOG_LINE_LENGTH).collect();
    }
}

/// Returns the listen address in a log line. Returns `None` if the line reports none.
fn listen_address(line: &str) -> Option<SocketAddr> {
    let (_, address) = line.split_once(LISTENING_PREFIX)?;
    address.trim().parse().ok()
}

impl StartingNode {
    /// Waits until the node reports its listen address. If the process exits before that, this function still
    /// waits until the limit; the exit is reported by [`Process::unexpected_exit`], which can be waited for
    /// at the same time.
    ///
    /// # Errors
    /// Returns an error if the node has not reported its address within `limit`.
    pub async fn wait_until_listening(self, limit: Duration) -> Result<EdgeNode, BenchError> {
        let StartingNode { address, process_id, log, started_at } = self;
        let reported = async {
            match address.await {
                Ok(address) => address,
                Err(_) => std::future::pending().await,
            }
        };
        match timeout(limit, reported).await {
            Ok(address) => Ok(EdgeNode { process_id, log, address, started_at }),
            Err(_) => Err(BenchError::EdgeNode(format!("reported no listen address within {limit:?}"))),
        }
    }
}

impl EdgeNode {
    /// Waits until the node responds to `GET /up` with status 200, and returns the time since the process was
    /// started.
    ///
    /// # Errors
    /// Returns an error if the node is not ready once `limit` has passed since the process was started.
    pub async fn wait_until_ready(&self, limit: Duration) -> Result<Duration, BenchError> {
        loop {
            if let Ok(Some(StatusCode::OK)) = timeout(READINESS_TIMEOUT, self.readiness_status()).await {
                return Ok(self.started_at.elapsed());
            }
            if self.started_at.elapsed() > limit {
                return Err(BenchError::EdgeNode(format!("did not become ready within {limit:?}")));
            }
            sleep(READINESS_INTERVAL).await;
        }
    }

    /// Returns the status of one `GET /up` on a connection of its own. Returns `None` if no response comes.
    async fn readiness_status(&self) -> Option<StatusCode> {
        let stream = TcpStream::connect(self.address).await.ok()?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        let connection = tokio::spawn(connection);
        let request = Request::get("/up").header("Host", "service.internal");
        let response = sender.send_request(request.body(Empty::<Bytes>::new()).ok()?).await;
        connection.abort();
        Some(response.ok()?.status())
    }

    /// Returns the resources that the node has used so far.
    ///
    /// # Errors
    /// Returns an error if the node's process has exited or its usage can't be read.
    pub fn usage(&self) -> Result<Usage, BenchError> {
        Usage::of(self.process_id)
    }

    /// Returns the number of lines that were read from the node's log so far.
    pub fn log_lines(&self) -> u64 {
        lock(&self.log).line_count
    }
}

fn lock(log: &Mutex<LogSummary>) -> std::sync::MutexGuard<'_, LogSummary> {
    log.lock().unwrap_or_else(PoisonError::into_inner)
}
