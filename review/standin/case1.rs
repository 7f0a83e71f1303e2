//! Case 1: clients that write long requests slowly, in small pieces, and the platform's limit on memory.

#[path = "common.rs"]
mod common;

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// The largest limits of a scored day.
const SETUP: Setup = Setup { memory_mb: 192, sockets: 1024, deadlines_ms: [2000, 3000, 3000] };
/// Length of a request's body: long, and under 64 KiB.
const BODY_BYTES: usize = 60_000;
/// A slow client writes this many bytes, then pauses.
const PIECE_BYTES: usize = 128;
const PIECE_PAUSE: Duration = Duration::from_micros(2_700);
/// Clients: 120 of the 1,024 descriptors, under the third that usual clients may hold.
const GROUPS: usize = 12;
const CLIENTS_PER_GROUP: usize = 10;
const PLAY: Duration = Duration::from_secs(15);

#[derive(Default)]
struct Counts {
    sent: AtomicU64,
    served: AtomicU64,
    not_served: AtomicU64,
    unanswered: AtomicU64,
}

fn main() {
    main_of(case)
}

fn case(record: &Record) -> io::Result<i32> {
    let is_slow = has_trouble();
    let mut entries = Vec::new();
    for number in 0..8 {
        let name = format!("s-{number}");
        let answering = name.clone();
        let log = record.clone();
        let address = start_app_server(move |request, stream| {
            let id = request.header("x-request-id");
            log.line(format!("run {id} at {answering}, body of {} bytes", request.body.len()));
            thread::sleep(Duration::from_millis(30));
            stream.write_all(&ok_answer(format!("{id} {answering}").as_bytes())).is_ok()
        })?;
        entries.push(list_entry(&name, address));
    }
    let mut node = Node::start(&SETUP, &entries.join(","), record)?;
    let stop = Arc::new(AtomicBool::new(false));
    let counts = Arc::new(Counts::default());
    let mut groups = Vec::new();
    for group in 0..GROUPS {
        let (address, stop, counts, record) = (node.address, stop.clone(), counts.clone(), record.clone());
        groups.push(thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                play_group(group, address, is_slow, &counts, &record);
            }
        }));
    }
    let ends_at = Instant::now() + PLAY;
    let mut peak = 0;
    let mut killed = false;
    let mut crashed = None;
    while Instant::now() < ends_at {
        match node.resident_kib() {
            Some(resident) => peak = resident.max(peak),
            None => crashed = node.ended(),
        }
        if crashed.is_some() {
            break;
        }
        // "Over memory_mb the edge node is killed."
        if peak > u64::from(SETUP.memory_mb) * 1024 {
            node.kill()?;
            record.line(format!("the platform kills the edge node: it holds {peak} KiB"));
            killed = true;
            break;
        }
        thread::sleep(Duration::from_millis(10));
    }
    stop.store(true, Ordering::Relaxed);
    for group in groups {
        let _ = group.join();
    }
    let load = |count: &AtomicU64| count.load(Ordering::Relaxed);
    record.result(format!(
        "slow writers: {is_slow}; requests {}, served {}, answered otherwise {}, without an answer {}; peak {} MiB of {} MB",
        load(&counts.sent), load(&counts.served), load(&counts.not_served), load(&counts.unanswered),
        peak / 1024, SETUP.memory_mb
    ));
    if let Some(status) = crashed {
        record.result(format!("BROKEN: the edge node ended: {status}"));
        return Ok(BROKEN);
    }
    if killed {
        record.result("BROKEN: the edge node went over its limit on memory and was killed");
        return Ok(BROKEN);
    }
    if load(&counts.served) == 0 {
        return Err(io::Error::other("nothing was served"));
    }
    record.result("held");
    Ok(HELD)
}

/// Each client of a group sends one request on a connection of its own and reads its answer. The clients
/// write in turn, so that one thread serves all of them.
fn play_group(group: usize, address: SocketAddr, is_slow: bool, counts: &Counts, record: &Record) {
    let mut open = Vec::new();
    for client in 0..CLIENTS_PER_GROUP {
        let account = (group * CLIENTS_PER_GROUP + client + 1) as u64;
        let request = Request::new("sighting-submit", account, 3000, vec![b'x'; BODY_BYTES]);
        let Ok(mut stream) = TcpStream::connect(address) else { continue };
        let _ = stream.set_nodelay(true);
        counts.sent.fetch_add(1, Ordering::Relaxed);
        record.line(format!("send {}", request.id));
        if stream.write_all(&request.head).is_ok() {
            open.push((stream, request));
        }
    }
    let piece = if is_slow { PIECE_BYTES } else { BODY_BYTES };
    let mut offset = 0;
    let mut next = Instant::now();
    while offset < BODY_BYTES {
        let end = (offset + piece).min(BODY_BYTES);
        for (stream, request) in &mut open {
            let _ = stream.write_all(&request.body[offset..end]);
        }
        offset = end;
        next += PIECE_PAUSE;
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    for (stream, request) in open {
        let _ = stream.set_read_timeout(Some(Duration::from_millis(3_550)));
        let count = match read_message(&mut BufReader::new(stream)) {
            Ok(Some(answer)) => {
                record.line(format!("answer {} {}", request.id, answer.status()));
                if answer.status() == 200 {
                    &counts.served
                } else {
                    &counts.not_served
                }
            }
            _ => {
                record.line(format!("no answer {}", request.id));
                &counts.unanswered
            }
        };
        count.fetch_add(1, Ordering::Relaxed);
    }
    // A client's next request comes after a pause: the accounts stay within their quotas.
    thread::sleep(Duration::from_millis(if is_slow { 100 } else { 1_000 }));
}
