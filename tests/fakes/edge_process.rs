//! The process of the node under test.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Instant;

use serde_json::Value;

use super::client::Client;
use super::TEST_TIMEOUT;

/// The log line that says where the node listens starts with this.
const LISTENING: &str = "edge-node: listening on ";
/// Descriptors of a node whose configuration names none.
const DEFAULT_DESCRIPTORS: u64 = 256;

/// How a process ended.
pub struct ProcessEnd {
    /// Its exit status.
    pub status: ExitStatus,
    /// The log that was not read before.
    pub log: String,
}

/// A running node, killed when dropped.
pub struct EdgeProcess {
    /// Where it listens.
    pub address: SocketAddr,
    child: Child,
    configuration_path: PathBuf,
    log: BufReader<ChildStderr>,
}

struct Launched {
    child: Child,
    configuration_path: PathBuf,
}

fn launch(configuration: &str) -> Launched {
    static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);
    let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
    let file_name = format!("edge-node-{}-{number}.json", std::process::id());
    let configuration_path = std::env::temp_dir().join(file_name);
    std::fs::write(&configuration_path, configuration).expect("a file");
    // The kernel itself enforces the node's descriptors.
    let descriptors = descriptors_of(configuration);
    let limited = format!("ulimit -n {descriptors}; exec {}", env!("CARGO_BIN_EXE_edge-node"));
    let child = Command::new("sh")
        .args(["-c", &limited])
        .env("PROXY_CONFIG", &configuration_path)
        .stderr(Stdio::piped())
        .spawn()
        .expect("the node starts");
    Launched { child, configuration_path }
}

/// How many descriptors a configuration allows.
fn descriptors_of(configuration: &str) -> u64 {
    let configuration = serde_json::from_str::<Value>(configuration).unwrap_or_default();
    configuration["limits"]["sockets"].as_u64().unwrap_or(DEFAULT_DESCRIPTORS)
}

/// Starts a node that ends by itself and returns how.
pub fn start_until_end(configuration: &str) -> ProcessEnd {
    let output = launch(configuration).child.wait_with_output().expect("an end");
    ProcessEnd { status: output.status, log: String::from_utf8(output.stderr).expect("text") }
}

impl EdgeProcess {
    /// Starts a node and waits until it listens.
    pub fn start(configuration: &str) -> EdgeProcess {
        let Launched { mut child, configuration_path } = launch(configuration);
        let mut log = BufReader::new(child.stderr.take().expect("a log"));
        let mut line = String::new();
        while !line.starts_with(LISTENING) {
            line.clear();
            assert!(log.read_line(&mut line).expect("a line") > 0, "the node has ended");
        }
        let address = line.trim_end().rsplit(' ').next().expect("an address").parse().expect("an address");
        EdgeProcess { address, child, configuration_path, log }
    }

    /// Connects a client.
    pub fn connect(&self) -> Client {
        Client::connect(self.address)
    }

    /// Connects clients that have all sent their text before the node accepts the first of them.
    ///
    /// With all descriptors in use the node closes a connection that stays silent, and on a busy machine that may be
    /// one on which the test has not written yet. While the node is suspended the kernel completes the handshakes
    /// in its backlog, and the node finds each connection with its bytes.
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

    /// Does something while the process is suspended. It must not wait for anything that the node does. If it panics
    /// the node is killed, which needs no resuming.
    pub fn while_suspended<T>(&self, act: impl FnOnce() -> T) -> T {
        self.signal("STOP");
        self.wait_until_suspended();
        let result = act();
        self.signal("CONT");
        result
    }

    /// Replaces the configuration file and signals that.
    pub fn reload(&self, configuration: &str) {
        let next_path = self.configuration_path.with_extension("next");
        std::fs::write(&next_path, configuration).expect("a file");
        std::fs::rename(&next_path, &self.configuration_path).expect("a file");
        self.signal("HUP");
    }

    /// The next line of the log.
    pub fn next_log_line(&mut self) -> String {
        let mut line = String::new();
        assert!(self.log.read_line(&mut line).expect("a line") > 0, "the node has ended");
        line
    }

    /// Waits for a line of the log that contains this text.
    pub fn wait_for_log_line(&mut self, text: &str) {
        loop {
            if self.next_log_line().contains(text) {
                return;
            }
        }
    }

    /// Starts a graceful shutdown.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Starts a graceful shutdown and waits until it has begun: what comes at the same time as the signal may still
    /// be answered as if there were none.
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

    /// Sends the process a signal, by its name without `SIG`.
    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("sh").args(["-c", &kill]).status().expect("a shell").success());
    }

    /// Waits until the process ends.
    pub fn wait_for_end(mut self) -> ProcessEnd {
        let mut log = String::new();
        self.log.read_to_string(&mut log).expect("the log");
        ProcessEnd { status: self.child.wait().expect("an end"), log }
    }

    /// The signal is only sent when `kill` ends, and the process may still run.
    fn wait_until_suspended(&self) {
        let path = format!("/proc/{}/stat", self.child.id());
        let until = Instant::now() + TEST_TIMEOUT;
        loop {
            let stat = std::fs::read_to_string(&path).expect("the node runs");
            // The state comes after the name, which may hold anything.
            let (_, after_name) = stat.rsplit_once(") ").expect("a name");
            if after_name.starts_with('T') {
                return;
            }
            assert!(Instant::now() < until, "the node is not suspended: {stat}");
            std::thread::yield_now();
        }
    }
}

impl Drop for EdgeProcess {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
