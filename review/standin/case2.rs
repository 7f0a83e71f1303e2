//! Case 2: app servers whose second answer comes some milliseconds late, and an edge node that is held up.

#[path = "common.rs"]
mod common;

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use common::*;

const SETUP: Setup = Setup { memory_mb: 192, sockets: 256, deadlines_ms: [2000, 3000, 3000] };
/// Of so many answers of an app server, one comes a second time.
const SECOND_COPY_EVERY: u64 = 3;
/// How long after the answer its second copy comes.
const COPY_DELAY: Duration = Duration::from_millis(8);
/// How long the edge node is held up at a time, and the longest hold that the pages allow.
const HOLD: Duration = Duration::from_millis(80);
const LONGEST_HOLD: Duration = Duration::from_millis(150);
/// Time between two holds.
const HOLD_PAUSE: Duration = Duration::from_millis(250);
const CLIENTS: u64 = 16;
const PLAY: Duration = Duration::from_secs(90);
/// The play ends early once so many answers were foreign.
const ENOUGH: u64 = 5;

const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;

extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

#[derive(Default)]
struct Counts {
    served: AtomicU64,
    not_served: AtomicU64,
    unanswered: AtomicU64,
    copies: AtomicU64,
    foreign: AtomicU64,
}

fn main() {
    main_of(case)
}

fn case(record: &Record) -> io::Result<i32> {
    let is_copying = has_trouble() && std::env::var("COPIES").map_or(true, |value| value != "0");
    let is_holding = has_trouble() && std::env::var("HOLDS").map_or(true, |value| value != "0");
    let counts = Arc::new(Counts::default());
    let mut entries = Vec::new();
    for number in 0..8_u64 {
        let name = format!("s-{number}");
        let (answering, counts, log) = (name.clone(), counts.clone(), record.clone());
        let answers = AtomicU64::new(number);
        let address = start_app_server(move |request, stream| {
            let id = request.header("x-request-id");
            let number = answers.fetch_add(1, Ordering::Relaxed);
            thread::sleep(Duration::from_millis(2 + number % 11));
            log.line(format!("run {id} at {answering}"));
            let account = request.path().split("key=").nth(1).unwrap_or("");
            let answer = ok_answer(format!("{{\"id\":\"{id}\",\"account\":\"{account}\"}}").as_bytes());
            if stream.write_all(&answer).is_err() {
                return false;
            }
            if is_copying && number % SECOND_COPY_EVERY == 0 {
                thread::sleep(COPY_DELAY);
                // "when nothing else is waiting on the connection"
                if nothing_waits(stream) {
                    log.line(format!("second copy of {id} at {answering}"));
                    counts.copies.fetch_add(1, Ordering::Relaxed);
                    return stream.write_all(&answer).is_ok();
                }
            }
            true
        })?;
        entries.push(list_entry(&name, address));
    }
    let mut node = Node::start(&SETUP, &entries.join(","), record)?;
    let ends_at = Instant::now() + PLAY;
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for client in 1..=CLIENTS {
        let (address, stop, counts, record) = (node.address, stop.clone(), counts.clone(), record.clone());
        clients.push(thread::spawn(move || play_client(client, address, &stop, &counts, &record)));
    }
    let mut holds = 0;
    let mut longest_hold = Duration::ZERO;
    while Instant::now() < ends_at && counts.foreign.load(Ordering::Relaxed) < ENOUGH {
        thread::sleep(HOLD_PAUSE);
        if is_holding {
            let began_at = Instant::now();
            signal(&node, SIGSTOP);
            thread::sleep(HOLD);
            signal(&node, SIGCONT);
            longest_hold = longest_hold.max(began_at.elapsed());
            record.line(format!("held up for {} ms", began_at.elapsed().as_millis()));
            holds += 1;
        }
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    if let Some(status) = node.ended() {
        return Err(io::Error::other(format!("the edge node ended: {status}")));
    }
    let load = |count: &AtomicU64| count.load(Ordering::Relaxed);
    record.result(format!(
        "second copies {}, holds {holds} (the longest {} ms); answered with 200 {}, otherwise {}, not {}; foreign {}",
        load(&counts.copies), longest_hold.as_millis(), load(&counts.served), load(&counts.not_served),
        load(&counts.unanswered), load(&counts.foreign)
    ));
    if load(&counts.served) == 0 || longest_hold > LONGEST_HOLD {
        return Err(io::Error::other("nothing was served, or a hold was longer than the pages allow"));
    }
    if load(&counts.foreign) > 0 {
        record.result("BROKEN: a request was served with the answer made for another request");
        return Ok(BROKEN);
    }
    record.result("held");
    Ok(HELD)
}

fn signal(node: &Node, signal: i32) {
    // SAFETY: `kill` takes two numbers; the process is a child of this one that was not waited for.
    let _ = unsafe { kill(node.process() as i32, signal) };
}

/// Returns whether no byte of a further request has arrived on the connection, and it is open. The reader of
/// the connection holds nothing: clients of an app server send one request at a time.
fn nothing_waits(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

/// Sends one request after another on a kept connection.
fn play_client(client: u64, address: SocketAddr, stop: &AtomicBool, counts: &Counts, record: &Record) {
    let mut kept: Option<BufReader<TcpStream>> = None;
    let mut number = client;
    while !stop.load(Ordering::Relaxed) {
        number = number.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        thread::sleep(Duration::from_millis(60 + (number >> 33) % 120));
        let class = ["site-tally", "checklist-save"][(number >> 40) as usize % 2];
        let request = Request::new(class, client, 2000, Vec::new());
        let mut stream = match kept.take() {
            Some(stream) => stream,
            None => match TcpStream::connect(address) {
                Ok(stream) => BufReader::new(stream),
                Err(_) => continue,
            },
        };
        let _ = stream.get_ref().set_nodelay(true);
        let _ = stream.get_ref().set_read_timeout(Some(Duration::from_millis(2550)));
        record.line(format!("send {} of account {client:016x}", request.id));
        if stream.get_mut().write_all(&request.head).is_err() {
            continue;
        }
        let Ok(Some(answer)) = read_message(&mut stream) else {
            record.line(format!("no answer {}", request.id));
            counts.unanswered.fetch_add(1, Ordering::Relaxed);
            continue;
        };
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        record.line(format!("answer {} {} {text}", request.id, answer.status()));
        if answer.status() != 200 {
            counts.not_served.fetch_add(1, Ordering::Relaxed);
        } else {
            counts.served.fetch_add(1, Ordering::Relaxed);
            if text != format!("{{\"id\":\"{}\",\"account\":\"{client:016x}\"}}", request.id) {
                counts.foreign.fetch_add(1, Ordering::Relaxed);
                record.line(format!("FOREIGN: {} of account {client:016x} was served {text}", request.id));
            }
        }
        if answer.header("connection") != "close" {
            kept = Some(stream);
        }
    }
}
