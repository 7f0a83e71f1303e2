//! Starts and controls the process of the node under test.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError};
use std::thread::spawn;
use std::time::Instant;

use serde_json::Value;

use super::client::Client;
use super::kernel::peak_resident_bytes;
use super::TEST_TIMEOUT;

/// Prefix of the log line that contains the address on which the node listens.
const LISTENING: &str = "edge-node: listening on ";
/// Limit of file descriptors for a node whose configuration names none.
const DEFAULT_DESCRIPTORS: u64 = 256;

/// The exit status of a node and the rest of its log.
pub struct ProcessExit {
    /// Exit status of the process.
    pub status: ExitStatus,
    /// The part of the log that the test had not read before.
    pub log: String,
}

/// A running node. The process is killed when this is dropped.
pub struct EdgeProcess {
    /// Address on which the node listens.
    pub address: SocketAddr,
    child: Child,
    configuration_path: PathBuf,
    /// The lines of the log, each with its line end. Disconnected when the log has ended.
    log: Receiver<String>,
}

/// A process that has been started and may not listen yet.
struct Launched {
    child: Child,
    configuration_path: PathBuf,
}

/// Starts a process with this configuration. The operating system limits its file descriptors to the
/// configured number.
fn launch(configuration: &str) -> Launched {
    static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);
    let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
    let file_name = format!("edge-node-{}-{number}.json", std::process::id());
    let configuration_path = std::env::temp_dir().join(file_name);
    std::fs::write(&configuration_path, configuration).expect("failed to write the configuration file");
    // With `ulimit` the kernel enforces the limit of descriptors.
    let descriptors = descriptors_of(configuration);
    let limited = format!("ulimit -n {descriptors}; exec {}", env!("CARGO_BIN_EXE_edge-node"));
    let child = Command::new("sh")
        .args(["-c", &limited])
        .env("PROXY_CONFIG", &configuration_path)
        .stderr(Stdio::piped())
        .spawn()
        .expect("failed to start the node");
    Launched { child, configuration_path }
}

/// Returns the number of file descriptors that a configuration allows, or [`DEFAULT_DESCRIPTORS`] if it names
/// none or is malformed.
fn descriptors_of(configuration: &str) -> u64 {
    let configuration = serde_json::from_str::<Value>(configuration).unwrap_or_default();
    configuration["limits"]["sockets"].as_u64().unwrap_or(DEFAULT_DESCRIPTORS)
}

/// Reads the lines of a log on a thread of its own, so that a test can wait for a line with a time limit.
fn read_lines(log: impl Read + Send + 'static) -> Receiver<String> {
    let (sender, lines) = channel();
    spawn(move || {
        let mut log = BufReader::new(log);
        loop {
            let mut line = String::new();
            let read = log.read_line(&mut line).expect("failed to read the log");
            if read == 0 || sender.send(line).is_err() {
                return;
            }
        }
    });
    lines
}

/// Starts a node that is expected to exit by itself, waits for its exit and returns its exit status and log.
pub fn run_until_exit(configuration: &str) -> ProcessExit {
    let output = launch(configuration).child.wait_with_output().expect("failed to wait for the node's exit");
    ProcessExit {
        status: output.status,
        log: String::from_utf8(output.stderr).expect("the log is not UTF-8"),
    }
}

impl EdgeProcess {
    /// Starts a node with this configuration and waits until it listens.
    pub fn start(configuration: &str) -> EdgeProcess {
        let Launched { mut child, configuration_path } = launch(configuration);
        let log = read_lines(child.stderr.take().expect("the standard error of the node is not piped"));
        let mut line = String::new();
        while !line.starts_with(LISTENING) {
            line = log.recv_timeout(TEST_TIMEOUT).expect("the node exited, or did not listen in time");
        }
        let address = line
            .trim_end()
            .rsplit(' ')
            .next()
            .expect("the log line has no address")
            .parse()
            .expect("the log line does not end with an address");
        EdgeProcess { address, child, configuration_path, log }
    }

    /// Connects a client.
    pub fn connect(&self) -> Client {
        Client::connect(self.address)
    }

    /// Connects clients that have all sent their text before the node accepts the first of them.
    ///
    /// If all descriptors are in use, the node closes connections on which nothing arrives. On a busy machine
    /// this could close a connection on which the test has not written yet. Therefore the node is suspended
    /// while the clients connect and write. Meanwhile the kernel completes the handshakes in the node's
    /// backlog, and when the node resumes, each connection already has its bytes.
    pub fn connect_having_sent<const COUNT: usize>(
        &self,
        texts: [impl AsRef<str>; COUNT],
    ) -> [Client; COUNT] {
        self.while_suspended(|| {
            texts.map(|text| {
                let mut client = self.connect();
                client.send_raw(text.as_ref());
                client
            })
        })
    }

    /// Calls `action` while the process is suspended and returns its result. `action` must not wait for
    /// anything that the node does. If `action` panics, the process is not resumed; dropping this kills it,
    /// which works on a suspended process too.
    pub fn while_suspended<T>(&self, action: impl FnOnce() -> T) -> T {
        self.signal("STOP");
        self.wait_until_suspended();
        let result = action();
        self.signal("CONT");
        result
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, configuration: &str) {
        let next_path = self.configuration_path.with_extension("next");
        std::fs::write(&next_path, configuration).expect("failed to write the configuration file");
        std::fs::rename(&next_path, &self.configuration_path)
            .expect("failed to replace the configuration file");
        self.signal("HUP");
    }

    /// Waits for the next line of the log and returns it. Panics if the node exits first, or if there is no
    /// line within [`TEST_TIMEOUT`].
    pub fn next_log_line(&mut self) -> String {
        self.log.recv_timeout(TEST_TIMEOUT).expect("the node exited, or wrote no further log line in time")
    }

    /// Waits for a line of the log that contains `text`. Lines before it are skipped.
    pub fn wait_for_log_line(&mut self, text: &str) {
        loop {
            if self.next_log_line().contains(text) {
                return;
            }
        }
    }

    /// Starts a graceful shutdown with SIGTERM.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Starts a graceful shutdown with SIGTERM and waits until the node has begun it. Until then, the node
    /// may answer requests as if no shutdown had been requested.
    pub fn terminate_and_wait(&self) {
        self.terminate();
        loop {
            let mut client = self.connect();
            client.send_raw("GET /up HTTP/1.1\r\nHost: n0\r\n\r\n");
            if client.response().header("connection") == Some("close") {
                return;
            }
        }
    }

    /// Returns the largest resident size of the process since its start, in bytes.
    pub fn peak_resident_bytes(&self) -> usize {
        peak_resident_bytes(self.child.id())
    }

    /// Sends the process a signal. `name` is the name of the signal without `SIG`.
    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("sh").args(["-c", &kill]).status().expect("failed to run a shell").success());
    }

    /// Waits until the process exits, and returns its exit status and the rest of its log.
    pub fn wait_for_exit(mut self) -> ProcessExit {
        let mut log = String::new();
        loop {
            match self.log.recv_timeout(TEST_TIMEOUT) {
                Ok(line) => log += &line,
                Err(RecvTimeoutError::Disconnected) => break,
                Err(RecvTimeoutError::Timeout) => panic!("the node did not exit in time"),
            }
        }
        ProcessExit { status: self.child.wait().expect("failed to wait for the node's exit"), log }
    }

    /// Waits until the process is suspended. When `kill` returns, the signal has been sent, but the process
    /// may still be running.
    fn wait_until_suspended(&self) {
        let path = format!("/proc/{}/stat", self.child.id());
        let until = Instant::now() + TEST_TIMEOUT;
        loop {
            let stat = std::fs::read_to_string(&path).expect("failed to read the process state");
            // The state follows the name of the process in parentheses. The name may contain any characters,
            // so the last closing parenthesis is its end.
            let (_, after_name) = stat.rsplit_once(") ").expect("the process state has no process name");
            if after_name.starts_with('T') {
                return;
            }
            assert!(Instant::now() < until, "the node was not suspended in time: {stat}");
            std::thread::yield_now();
        }
    }
}

impl Drop for EdgeProcess {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
