//! What the cases share: the record, the edge node's process, app servers, the discovery agent, the counter
//! and clients. Standard library only; every address is a loopback address.
#![allow(dead_code)]

use std::collections::HashMap;
use std::env;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub type Headers = HashMap<String, String>;

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// Returns whether the disruption is to be played.
pub fn has_trouble() -> bool {
    env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The record of a run: one line for each event, with the seconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started_at: Instant,
}

impl Record {
    /// Opens the record that `RECORD` names.
    pub fn open() -> io::Result<Record> {
        let path = env::var("RECORD").map_err(io::Error::other)?;
        Ok(Record { file: Arc::new(Mutex::new(File::create(path)?)), started_at: Instant::now() })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let seconds = self.started_at.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:8.3} {}", text.as_ref());
    }

    /// Writes a line to the record and to standard output.
    pub fn result(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

/// A message of HTTP/1.1 as it was read.
pub struct Message {
    pub first_line: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Message {
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Reads a message whose body has a `Content-Length`, or none. Returns `None` if the connection ends before.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut first_line = String::new();
    if reader.read_line(&mut first_line)? == 0 {
        return Ok(None);
    }
    let mut headers = Headers::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some(Message { first_line: first_line.trim_end().to_owned(), headers, body }))
}

/// A whole answer with status 200.
pub fn ok_answer(body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 200 OK\r\nX-Load: util=0.30\r\nContent-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

fn serve<F>(listener: TcpListener, handle: F)
where
    F: Fn(TcpStream) + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || handle(stream));
        }
    });
}

/// Starts an app server, which hands each request to `answer` with the stream to write to. The connection
/// ends when `answer` returns `false`.
pub fn start_app_server<F>(answer: F) -> io::Result<SocketAddr>
where
    F: Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    serve(listener, move |mut stream| {
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        while let Ok(Some(request)) = read_message(&mut reader) {
            if !answer(&request, &mut stream) {
                return;
            }
        }
    });
    Ok(address)
}

/// Starts a discovery agent with a list that does not change. A watch ends with no change after its wait.
pub fn start_agent(entries: String) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    serve(listener, move |mut stream| {
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        while let Ok(Some(request)) = read_message(&mut reader) {
            let is_watch = request.path().contains("after=1");
            let list = if is_watch {
                let wait = request.path().split("wait_ms=").nth(1).and_then(|text| text.parse().ok());
                thread::sleep(Duration::from_millis(wait.unwrap_or(0)));
                r#"{"index":1,"snapshot":false,"endpoints":[]}"#.to_owned()
            } else {
                format!(r#"{{"index":1,"snapshot":true,"endpoints":[{entries}]}}"#)
            };
            if stream.write_all(&ok_answer(list.as_bytes())).is_err() {
                return;
            }
        }
    });
    Ok(address)
}

/// Starts a counter that keeps every name for the whole run.
pub fn start_counter() -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let totals = Mutex::new(HashMap::<String, f64>::new());
    serve(listener, move |mut stream| {
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        while let Ok(Some(words)) = read_call(&mut reader) {
            let answer = match words.first().map(String::as_str) {
                Some("INCRTTL") if words.len() == 4 => {
                    let mut totals = totals.lock().unwrap();
                    let total = totals.entry(words[1].clone()).or_default();
                    *total += words[2].parse::<f64>().unwrap_or(0.0);
                    let text = format!("{total}");
                    format!("${}\r\n{text}\r\n", text.len())
                }
                Some("PING") => "+PONG\r\n".to_owned(),
                _ => "-ERR no such call\r\n".to_owned(),
            };
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    });
    Ok(address)
}

fn read_call(reader: &mut impl BufRead) -> io::Result<Option<Vec<String>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let count = line.trim_end().trim_start_matches('*').parse().unwrap_or(0);
    let mut words = Vec::new();
    for _ in 0..count {
        let mut length = String::new();
        reader.read_line(&mut length)?;
        let mut word = String::new();
        reader.read_line(&mut word)?;
        words.push(word.trim_end().to_owned());
    }
    Ok(Some(words))
}

/// An entry of the list for an app server that started long ago.
pub fn list_entry(name: &str, address: SocketAddr) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"dakar-dc1","type":"small-2c","group":1,"status":"up","weight":1.0,"since_ms":0}}"#
    )
}

/// What a case chooses in the configuration.
pub struct Setup {
    pub memory_mb: u32,
    pub sockets: u32,
    /// How long clients of the three classes wait in total, in milliseconds.
    pub deadlines_ms: [u64; 3],
}

/// The settings, with the names and the figures of the example in WIRE and of the site file, for one edge
/// node.
fn settings(setup: &Setup) -> String {
    let [tally, save, submit] = setup.deadlines_ms.map(|ms| ms * 1000);
    format!(
        r#"{{"bounds":{{"cancel":true,"conn_idle":30000000,"connect_timeout":250000,"cpu_us_per_request":0.0,
        "cpu_us_per_s":400000,"max_retry_after":500000,"max_streams":32,"most_held":20000,
        "peer_messages":false,"probing":true,"retry_after":true,"second_copies":false,"try_limit":4}},
        "charges":{{"cross_zone":0.0,"late_fail":0.03,"probe":0.01,"waste":0.03}},
        "classes":[
        {{"credit":2.0,"deadline":{tally},"effect":"safe","group":"all","late_worth":0.0,"name":"site-tally",
          "on_time":{tally_aim},"stream":false,"window":5000000}},
        {{"credit":3.0,"deadline":{save},"effect":"safe","group":"all","late_worth":0.0,
          "name":"checklist-save","on_time":{save_aim},"stream":false,"window":5000000}},
        {{"credit":3.0,"deadline":{submit},"effect":"keyed","group":"all","late_worth":0.0,
          "name":"sighting-submit","on_time":{submit_aim},"stream":false,"window":1500000}}],
        "clients":{{"marks_retry":false}},
        "domain":{{"call_price":0.005,"cost_after":false,"count_wait":30000,"largest":1,"may_count":true,
        "peer_intake":0.0,"use_period":0}},
        "family":"gate",
        "invariants":{{"answer_slack":16000,"ask_within":10000000,"cold":12000000,"cold_from":0.21,
        "drain_grace":500000,"fall_multiple":4.0,"tip_after":3000000}},
        "kinds":["small-2c"],"layers":["sighting-api"],"me":0,"n_instances":1,"quantum":4000,
        "registry_mode":"push","reporting":{{"fields":["utilization"],"how":"piggyback"}},
        "tariffs":[{{"ceiling_burst":0.0,"ceiling_rate":0.0,"ceiling_slack":0.0,"concurrency":0,
        "excess_cost":1.0,"extra_worth":0.0,"most_at_once":17.0,"name":"institute","quota_rate":11.0,
        "worth_factor":1.6}}],
        "tier":0,"weights":"rough","zone":0,"zones":["dakar-dc1"]}}"#,
        tally_aim = tally / 5 * 2,
        save_aim = save / 3,
        submit_aim = submit / 5 * 2,
    )
}

/// The edge node's process, started with the command `run` of the deploy file.
pub struct Node {
    child: Child,
    pub address: SocketAddr,
    directory: PathBuf,
    has_ended: bool,
}

impl Node {
    /// Starts the edge node and waits until it answers `GET /up` with 200.
    pub fn start(setup: &Setup, entries: &str, record: &Record) -> io::Result<Node> {
        let agent = start_agent(entries.to_owned())?;
        let counter = start_counter()?;
        let address = free_address()?;
        let directory = env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(directory.join("tmp"))?;
        let configuration = directory.join("config.json");
        let text = format!(
            r#"{{"name":"n0","listen":"{address}","discovery":"{agent}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"counter":"{counter}",
            "known":{{"index":1,"snapshot":true,"endpoints":[{entries}]}},"settings":{}}}"#,
            setup.memory_mb,
            setup.sockets,
            settings(setup)
        );
        fs::write(&configuration, text)?;
        let root = env::var("ROOT").map_err(io::Error::other)?;
        let run = run_command(&root)?;
        let log = File::create(directory.join("log"))?;
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .current_dir(&root)
            .env("PROXY_NAME", "n0")
            .env("PROXY_LISTEN", address.to_string())
            .env("PROXY_DISCOVERY", agent.to_string())
            .env("PROXY_CONFIG", &configuration)
            .env("TMPDIR", directory.join("tmp"))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        let mut node = Node { child, address, directory, has_ended: false };
        node.wait_until_ready()?;
        record.line(format!("the edge node is ready: {run}"));
        Ok(node)
    }

    fn wait_until_ready(&mut self) -> io::Result<()> {
        let limit = Instant::now() + Duration::from_secs(20);
        while Instant::now() < limit {
            if self.is_up().unwrap_or(false) {
                return Ok(());
            }
            if let Some(status) = self.child.try_wait()? {
                return Err(io::Error::other(format!("the edge node ended: {status}\n{}", self.log())));
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err(io::Error::other("the edge node is not ready"))
    }

    fn is_up(&self) -> io::Result<bool> {
        let mut stream = TcpStream::connect(self.address)?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        stream.write_all(b"GET /up HTTP/1.1\r\nHost: service.internal\r\n\r\n")?;
        let answer = read_message(&mut BufReader::new(stream))?;
        Ok(answer.is_some_and(|answer| answer.status() == 200))
    }

    /// The id of the process.
    pub fn process(&self) -> u32 {
        self.child.id()
    }

    /// The resident memory of the process in KiB; `None` if the process has ended.
    pub fn resident_kib(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// Kills the process.
    pub fn kill(&mut self) -> io::Result<ExitStatus> {
        let _ = self.child.kill();
        self.has_ended = true;
        self.child.wait()
    }

    /// Returns how the process has ended; `None` if it runs.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.directory.join("log")).unwrap_or_default()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if !self.has_ended {
            let _ = self.kill();
        }
        let _ = fs::remove_dir_all(&self.directory);
    }
}

/// Returns the value of `run` in the deploy file.
fn run_command(root: &str) -> io::Result<String> {
    let text = fs::read_to_string(format!("{root}/deploy/balancer.toml"))?;
    let line = text.lines().find(|line| line.starts_with("run"));
    let value = line.and_then(|line| line.split('"').nth(1));
    value.map(str::to_owned).ok_or_else(|| io::Error::other("the deploy file has no run command"))
}

fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A request of a usual client.
pub struct Request {
    pub id: String,
    pub head: Vec<u8>,
    pub body: Vec<u8>,
}

impl Request {
    /// Creates a request of a class for the account with this number. Only the class `sighting-submit` has
    /// a key and a body.
    pub fn new(class: &str, account: u64, deadline_ms: u64, body: Vec<u8>) -> Request {
        let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
        let id = format!("{:016x}", 0x5c0f_0000_0000 + number);
        let is_keyed = class == "sighting-submit";
        let method = if is_keyed { "POST" } else { "GET" };
        let key = if is_keyed { format!("Idempotency-Key: k{id}\r\n") } else { String::new() };
        let length = if is_keyed { format!("Content-Length: {}\r\n", body.len()) } else { String::new() };
        let head = format!(
            "{method} /{class}?key={account:016x} HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: {id}\r\n\
             X-Class: {class}\r\nX-Tariff: institute\r\nX-Deadline-Ms: {deadline_ms}\r\n\
             X-Weight: units=1,spread=1,first=0\r\n{key}{length}\r\n"
        );
        Request { id, head: head.into_bytes(), body }
    }
}

/// Runs a case and ends the process with its exit code.
pub fn main_of(case: impl FnOnce(&Record) -> io::Result<i32>) -> ! {
    let code = match Record::open() {
        Ok(record) => case(&record).unwrap_or_else(|error| {
            record.result(format!("the case could not run: {error}"));
            COULD_NOT_RUN
        }),
        Err(error) => {
            println!("no record: {error}");
            COULD_NOT_RUN
        }
    };
    std::process::exit(code)
}

/// Reads all that is left on a stream, to its end or for this long.
pub fn drain(stream: &mut TcpStream, time: Duration) {
    let _ = stream.set_read_timeout(Some(time));
    let _ = stream.read_to_end(&mut Vec::new());
}
