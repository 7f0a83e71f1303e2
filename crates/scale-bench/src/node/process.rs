//! The edge node's process: its start, its readiness, and what the machine says of its cost.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Empty;
use hyper::client::conn::http1;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::{Child, ChildStderr, Command};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout, Instant};

use crate::error::BenchError;
use crate::memory::Memory;

/// What stands before the address in the line that tells where the edge node listens.
const LISTENING: &str = "listening on ";
/// Pause between looks at `/up`.
const LOOK: Duration = Duration::from_millis(2);
/// How long one such look may take. Danger: an edge node may take the connection and be ready only later.
const LOOK_MOST: Duration = Duration::from_millis(500);
/// How long the log of a process that has ended is still read.
const LAST_WORDS: Duration = Duration::from_secs(1);
/// What is kept of a log line.
const LINE_MOST: usize = 200;

#[derive(Default)]
struct Log {
    lines: u64,
    last: String,
}

/// An edge node's process, killed when dropped.
pub struct Process {
    child: Child,
    log: Arc<Mutex<Log>>,
    reader: Option<JoinHandle<()>>,
}

/// An edge node as seen from outside.
pub struct EdgeNode {
    pid: u32,
    log: Arc<Mutex<Log>>,
    /// Where it listens.
    pub address: SocketAddr,
    /// When it was started.
    pub started: Instant,
}

impl Process {
    /// Starts the program with the configuration in this file.
    pub fn start(program: &Path, config: &Path) -> Result<(Process, Starting), BenchError> {
        let started = Instant::now();
        let mut child = Command::new(program)
            .env("PROXY_CONFIG", config)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .map_err(|source| BenchError::File { path: program.display().to_string(), source })?;
        let (Some(pid), Some(stderr)) = (child.id(), child.stderr.take()) else {
            return Err(BenchError::EdgeNode("has no log".into()));
        };
        let log = Arc::new(Mutex::new(Log::default()));
        let (tell, told) = oneshot::channel();
        let reader = tokio::spawn(read_log(stderr, log.clone(), tell));
        let starting = Starting { told, pid, log: log.clone(), started };
        Ok((Process { child, log, reader: Some(reader) }, starting))
    }

    /// Comes back when the process has ended by itself, with why that is no good.
    pub async fn ended(&mut self) -> BenchError {
        let status = self.child.wait().await;
        if let Some(reader) = self.reader.take() {
            // Its last words may lie unread. What it has started in its turn may keep the pipe open.
            let _ = timeout(LAST_WORDS, reader).await;
        }
        match status {
            Ok(status) => BenchError::EdgeNode(format!("has ended by itself, {status}: {}", last(&self.log))),
            Err(source) => BenchError::System { what: "cannot wait for the edge node", source },
        }
    }

    /// Ends it.
    pub async fn kill(mut self) {
        // It may have ended by itself.
        let _ = self.child.kill().await;
    }
}

/// Danger: a pipe that nobody reads holds up who writes to it.
async fn read_log(stderr: ChildStderr, log: Arc<Mutex<Log>>, tell: oneshot::Sender<SocketAddr>) {
    let (mut lines, mut tell) = (BufReader::new(stderr).lines(), Some(tell));
    while let Ok(Some(line)) = lines.next_line().await {
        let address = line.split_once(LISTENING).and_then(|(_, at)| at.trim().parse().ok());
        if let Some((tell, at)) = tell.take_if(|_| address.is_some()).zip(address) {
            let _ = tell.send(at);
        }
        let mut log = log.lock().unwrap_or_else(PoisonError::into_inner);
        (log.lines, log.last) = (log.lines + 1, line.chars().take(LINE_MOST).collect());
    }
}

/// An edge node that has not said yet where it listens.
pub struct Starting {
    told: oneshot::Receiver<SocketAddr>,
    pid: u32,
    log: Arc<Mutex<Log>>,
    started: Instant,
}

impl Starting {
    /// Waits until it says where it listens. If it ends instead, that is told by its process.
    pub async fn listens(self, limit: Duration) -> Result<EdgeNode, BenchError> {
        let Starting { told, pid, log, started } = self;
        let heard = async {
            match told.await {
                Ok(address) => address,
                Err(_) => std::future::pending().await,
            }
        };
        match timeout(limit, heard).await {
            Ok(address) => Ok(EdgeNode { pid, log, address, started }),
            Err(_) => Err(BenchError::EdgeNode(format!("does not listen after {limit:?}"))),
        }
    }
}

impl EdgeNode {
    /// Waits until `GET /up` is answered with 200; how long that took from the start on.
    pub async fn ready(&self, limit: Duration) -> Result<Duration, BenchError> {
        loop {
            if let Ok(Some(())) = timeout(LOOK_MOST, self.is_up()).await {
                return Ok(self.started.elapsed());
            }
            if self.started.elapsed() > limit {
                return Err(BenchError::EdgeNode(format!("is not ready after {limit:?}")));
            }
            sleep(LOOK).await;
        }
    }

    async fn is_up(&self) -> Option<()> {
        let stream = TcpStream::connect(self.address).await.ok()?;
        let (mut sender, line) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        let line = tokio::spawn(line);
        let request =
            Request::get("/up").header("Host", "service.internal").body(Empty::<Bytes>::new()).ok()?;
        let answer = sender.send_request(request).await;
        line.abort();
        (answer.ok()?.status() == StatusCode::OK).then_some(())
    }

    /// What it has cost by now.
    pub fn usage(&self) -> Result<Usage, BenchError> {
        Usage::of(self.pid)
    }

    /// How many lines it has written to its log.
    pub fn log_lines(&self) -> u64 {
        self.log.lock().unwrap_or_else(PoisonError::into_inner).lines
    }
}

fn last(log: &Mutex<Log>) -> String {
    log.lock().unwrap_or_else(PoisonError::into_inner).last.clone()
}

/// What the machine says of a process.
#[derive(Debug, Clone)]
pub struct Usage {
    /// Of each of its threads the time on a processor and waiting for one, where the machine tells.
    threads: Option<Threads>,
    /// Processor time of all its threads, also of those that have ended, in whole ticks.
    ticks: Duration,
    /// Its memory.
    pub memory: Memory,
    at: Instant,
}

impl Usage {
    /// Reads them from `/proc`.
    pub fn of(pid: u32) -> Result<Usage, BenchError> {
        let at = Instant::now();
        let (threads, ticks) = (scheduled(pid), ticks(pid)?);
        let memory = Memory::of(&pid.to_string())?.ok_or_else(|| BenchError::EdgeNode("has ended".into()))?;
        Ok(Usage { threads, ticks, memory, at })
    }

    /// The processor time used since an earlier reading, in percent of one core. Danger: the ticks of `stat` are
    /// 10 ms, more than an idle edge node uses in seconds; and what the scheduler says of a thread is gone once that
    /// has ended. So the larger of both counts.
    pub fn percent_since(&self, earlier: &Usage) -> f64 {
        let ticks = self.ticks.saturating_sub(earlier.ticks + tick());
        let cpu = self.threads_since(earlier).map_or(ticks, |(ran, _)| ran.max(ticks));
        100.0 * cpu.as_secs_f64() / self.span(earlier)
    }

    fn threads_since(&self, earlier: &Usage) -> Option<(Duration, Duration)> {
        let (now, before) = (self.threads.as_ref()?, earlier.threads.as_ref()?);
        let since = |(id, &(ran, waited)): (&OsString, &(Duration, Duration))| {
            let &(ran_before, waited_before) = before.get(id).unwrap_or(&(Duration::ZERO, Duration::ZERO));
            (ran.saturating_sub(ran_before), waited.saturating_sub(waited_before))
        };
        let add = |(a, b): (Duration, Duration), (ran, waited)| (a + ran, b + waited);
        Some(now.iter().map(since).fold((Duration::ZERO, Duration::ZERO), add))
    }

    /// The time waited for a processor since an earlier reading, in percent; none where the machine does not tell.
    pub fn waited_percent_since(&self, earlier: &Usage) -> Option<f64> {
        let (_, waited) = self.threads_since(earlier)?;
        Some(100.0 * waited.as_secs_f64() / self.span(earlier))
    }

    fn span(&self, earlier: &Usage) -> f64 {
        self.at.duration_since(earlier.at).as_secs_f64().max(1e-9)
    }
}

fn read(path: &str) -> Result<String, BenchError> {
    std::fs::read_to_string(path).map_err(|source| BenchError::File { path: path.into(), source })
}

/// By a thread's number, how long it has been on a processor, and waiting for one.
type Threads = BTreeMap<OsString, (Duration, Duration)>;

/// The first two fields of each thread's `schedstat`.
fn scheduled(pid: u32) -> Option<Threads> {
    let mut threads = Threads::new();
    for thread in std::fs::read_dir(format!("/proc/{pid}/task")).ok()? {
        let thread = thread.ok()?;
        // One that ends just now is left out.
        let Ok(text) = std::fs::read_to_string(thread.path().join("schedstat")) else { continue };
        let mut fields = text.split_whitespace().map_while(|field| field.parse().ok());
        let mut next = || fields.next().map(Duration::from_nanos);
        threads.insert(thread.file_name(), (next()?, next()?));
    }
    threads.values().any(|(ran, _)| !ran.is_zero()).then_some(threads)
}

fn tick() -> Duration {
    Duration::from_secs_f64(1.0 / rustix::param::clock_ticks_per_second().max(1) as f64)
}

fn ticks(pid: u32) -> Result<Duration, BenchError> {
    let stat = read(&format!("/proc/{pid}/stat"))?;
    // The name, in parentheses, may hold anything; `utime` and `stime` are the 12th and 13th field behind it.
    let mut rest = stat.rsplit(')').next().unwrap_or("").split_whitespace().skip(11);
    let mut next = || rest.next().and_then(|field| field.parse::<u64>().ok()).unwrap_or(0);
    let ticks = next() + next();
    Ok(tick().mul_f64(ticks as f64))
}
