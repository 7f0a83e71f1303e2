//! The edge node's process: its start, its readiness, and what the machine says of its cost.

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
use tokio::process::{Child, Command};
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout, Instant};

use crate::error::RigError;

/// What stands before the address in the line that tells where the edge node listens.
const LISTENING: &str = "listening on ";
/// Pause between looks at `/up`.
const LOOK: Duration = Duration::from_millis(2);
/// How long one such look may take. Danger: an edge node may take the connection and be ready only later.
const LOOK_MOST: Duration = Duration::from_millis(500);
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

impl EdgeNode {
    /// Starts the program with the configuration in this file, and waits until it says where it listens.
    pub async fn start(program: &Path, config: &Path, limit: Duration) -> Result<(Self, Process), RigError> {
        let started = Instant::now();
        let mut child = Command::new(program)
            .env("PROXY_CONFIG", config)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .map_err(|source| RigError::File { path: program.display().to_string(), source })?;
        let (pid, stderr) = (child.id(), child.stderr.take());
        let (Some(pid), Some(stderr)) = (pid, stderr) else {
            return Err(RigError::EdgeNode("ended at once".into()));
        };
        let log = Arc::new(Mutex::new(Log::default()));
        let (tell, told) = oneshot::channel();
        let kept = log.clone();
        tokio::spawn(async move {
            let (mut lines, mut tell) = (BufReader::new(stderr).lines(), Some(tell));
            // Danger: a pipe that nobody reads holds up who writes to it.
            while let Ok(Some(line)) = lines.next_line().await {
                let address = line.split_once(LISTENING).and_then(|(_, at)| at.trim().parse().ok());
                if let Some((tell, at)) = tell.take_if(|_| address.is_some()).zip(address) {
                    let _ = tell.send(at);
                }
                let mut log = kept.lock().unwrap_or_else(PoisonError::into_inner);
                (log.lines, log.last) = (log.lines + 1, line.chars().take(LINE_MOST).collect());
            }
        });
        let address = match timeout(limit, told).await {
            Ok(Ok(address)) => address,
            Ok(Err(_)) => return Err(RigError::EdgeNode(format!("has ended: {}", last(&log)))),
            Err(_) => return Err(RigError::EdgeNode(format!("does not listen after {limit:?}"))),
        };
        let process = Process { child, log: log.clone() };
        Ok((EdgeNode { pid, log, address, started }, process))
    }

    /// Waits until `GET /up` is answered with 200; how long that took from the start on.
    pub async fn ready(&self, limit: Duration) -> Result<Duration, RigError> {
        loop {
            if let Ok(Some(())) = timeout(LOOK_MOST, self.is_up()).await {
                return Ok(self.started.elapsed());
            }
            if self.started.elapsed() > limit {
                return Err(RigError::EdgeNode(format!("is not ready after {limit:?}")));
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
    pub fn usage(&self) -> Result<Usage, RigError> {
        Usage::of(self.pid)
    }

    /// How many lines it has written to its log.
    pub fn log_lines(&self) -> u64 {
        self.log.lock().unwrap_or_else(PoisonError::into_inner).lines
    }
}

impl Process {
    /// Comes back when the process has ended by itself, with why that is no good.
    pub async fn ended(&mut self) -> RigError {
        match self.child.wait().await {
            Ok(status) => RigError::EdgeNode(format!("has ended by itself, {status}: {}", last(&self.log))),
            Err(source) => RigError::System { what: "cannot wait for the edge node", source },
        }
    }

    /// Ends it.
    pub async fn kill(mut self) {
        // It may have ended by itself.
        let _ = self.child.kill().await;
    }
}

fn last(log: &Mutex<Log>) -> String {
    log.lock().unwrap_or_else(PoisonError::into_inner).last.clone()
}

/// What the machine says of a process.
#[derive(Debug, Clone, Copy)]
pub struct Usage {
    /// Processor time of all its threads.
    pub cpu: Duration,
    /// Time that its threads could have run and waited for a processor, where the machine tells.
    pub waited: Option<Duration>,
    /// Resident memory in bytes.
    pub resident: u64,
    /// The most that it has ever been.
    pub peak: u64,
    at: Instant,
}

impl Usage {
    /// Reads them from `/proc`. Danger: the ticks of `stat` are 10 ms, more than an idle edge node uses in
    /// seconds; so what the scheduler says of each thread is taken, and the ticks only where it says nothing.
    pub fn of(pid: u32) -> Result<Usage, RigError> {
        let at = Instant::now();
        let (cpu, waited) = match scheduled(pid) {
            Some((cpu, waited)) => (cpu, Some(waited)),
            None => (ticks(pid)?, None),
        };
        let status = read(&format!("/proc/{pid}/status"))?;
        let kilobytes = |key: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(key));
            line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok())
        };
        let (Some(resident), Some(peak)) = (kilobytes("VmRSS:"), kilobytes("VmHWM:")) else {
            return Err(RigError::EdgeNode("has ended".into()));
        };
        Ok(Usage { cpu, waited, resident: resident * 1024, peak: peak * 1024, at })
    }

    /// The processor time used since an earlier reading, in percent of one core.
    pub fn percent_since(&self, earlier: &Usage) -> f64 {
        100.0 * self.cpu.saturating_sub(earlier.cpu).as_secs_f64() / self.span(earlier)
    }

    /// The time waited for a processor since an earlier reading, in percent; none where the machine does not tell.
    pub fn waited_percent_since(&self, earlier: &Usage) -> Option<f64> {
        let waited = self.waited?.saturating_sub(earlier.waited?);
        Some(100.0 * waited.as_secs_f64() / self.span(earlier))
    }

    fn span(&self, earlier: &Usage) -> f64 {
        self.at.duration_since(earlier.at).as_secs_f64().max(1e-9)
    }
}

fn read(path: &str) -> Result<String, RigError> {
    std::fs::read_to_string(path).map_err(|source| RigError::File { path: path.into(), source })
}

/// The first two fields of each thread's `schedstat`: nanoseconds on a processor, and waiting for one.
fn scheduled(pid: u32) -> Option<(Duration, Duration)> {
    let threads = std::fs::read_dir(format!("/proc/{pid}/task")).ok()?;
    let (mut ran, mut waited) = (0, 0);
    for thread in threads {
        let text = std::fs::read_to_string(thread.ok()?.path().join("schedstat")).ok()?;
        let mut fields = text.split_whitespace().map_while(|field| field.parse::<u64>().ok());
        (ran, waited) = (ran + fields.next()?, waited + fields.next()?);
    }
    (ran > 0).then(|| (Duration::from_nanos(ran), Duration::from_nanos(waited)))
}

fn ticks(pid: u32) -> Result<Duration, RigError> {
    let stat = read(&format!("/proc/{pid}/stat"))?;
    // The name, in parentheses, may hold anything; `utime` and `stime` are the 12th and 13th field behind it.
    let mut rest = stat.rsplit(')').next().unwrap_or("").split_whitespace().skip(11);
    let mut next = || rest.next().and_then(|field| field.parse::<u64>().ok()).unwrap_or(0);
    let ticks = next() + next();
    Ok(Duration::from_secs_f64(ticks as f64 / rustix::param::clock_ticks_per_second().max(1) as f64))
}
