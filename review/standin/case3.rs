//! Case 3: app servers whose answers state a length that is shorter than the answer.

#[path = "common.rs"]
mod common;

use std::collections::HashMap;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

const SETUP: Setup = Setup { memory_mb: 192, sockets: 256, deadlines_ms: [2000, 3000, 3000] };
/// Of so many requests that an app server gets, the answer to one is spoilt.
const SPOILT_EVERY: u64 = 10;
/// How many bytes the stated length of a spoilt answer lacks.
const MISSING_BYTES: usize = 12;
const CLIENTS: u64 = 10;
const PLAY: Duration = Duration::from_secs(10);
const CLASSES: [&str; 3] = ["site-tally", "checklist-save", "sighting-submit"];

/// The bodies that app servers made, by request id.
type Made = Arc<Mutex<HashMap<String, Vec<Vec<u8>>>>>;

#[derive(Default)]
struct Counts {
    served: AtomicU64,
    not_served: AtomicU64,
    wrong: AtomicU64,
    spoilt: AtomicU64,
}

fn main() {
    main_of(case)
}

fn case(record: &Record) -> io::Result<i32> {
    let is_spoiling = has_trouble();
    let made = Made::default();
    let counts = Arc::new(Counts::default());
    let mut entries = Vec::new();
    for number in 0..8_u64 {
        let name = format!("s-{number}");
        let (answering, made, counts, log) = (name.clone(), made.clone(), counts.clone(), record.clone());
        let requests = AtomicU64::new(number);
        let address = start_app_server(move |request, stream| {
            thread::sleep(Duration::from_millis(40));
            let id = request.header("x-request-id");
            let body =
                format!("{{\"id\":\"{id}\",\"by\":\"{answering}\",\"site\":\"djoudj\",\"count\":1234567}}")
                    .into_bytes();
            made.lock().unwrap().entry(id.to_owned()).or_default().push(body.clone());
            let is_spoilt =
                is_spoiling && requests.fetch_add(1, Ordering::Relaxed) % SPOILT_EVERY == SPOILT_EVERY - 1;
            if !is_spoilt {
                log.line(format!("run {id} at {answering}: {}", String::from_utf8_lossy(&body)));
                return stream.write_all(&ok_answer(&body)).is_ok();
            }
            counts.spoilt.fetch_add(1, Ordering::Relaxed);
            log.line(format!(
                "run {id} at {answering}: {}, spoilt, length stated as {}",
                String::from_utf8_lossy(&body),
                body.len() - MISSING_BYTES
            ));
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len() - MISSING_BYTES);
            let _ = stream.write_all(&[head.as_bytes(), &body].concat());
            // "The connection stays open but is of no further use."
            drain(stream, Duration::from_secs(5));
            false
        })?;
        entries.push(list_entry(&name, address));
    }
    let mut node = Node::start(&SETUP, &entries.join(","), record)?;
    let ends_at = Instant::now() + PLAY;
    let mut clients = Vec::new();
    for client in 1..=CLIENTS {
        let (address, made, counts, record) = (node.address, made.clone(), counts.clone(), record.clone());
        clients.push(thread::spawn(move || play_client(client, address, ends_at, &made, &counts, &record)));
    }
    for client in clients {
        let _ = client.join();
    }
    if let Some(status) = node.ended() {
        return Err(io::Error::other(format!("the edge node ended: {status}")));
    }
    let load = |count: &AtomicU64| count.load(Ordering::Relaxed);
    record.result(format!(
        "spoilt answers {}; requests answered with 200 {}, otherwise {}; 200 with a body that no app server made {}",
        load(&counts.spoilt), load(&counts.served), load(&counts.not_served), load(&counts.wrong)
    ));
    if load(&counts.served) == 0 || (is_spoiling && load(&counts.spoilt) == 0) {
        return Err(io::Error::other("nothing was served, or nothing was spoilt"));
    }
    if load(&counts.wrong) > 0 {
        record.result("BROKEN: a request was served with something other than the answer made for it");
        return Ok(BROKEN);
    }
    record.result("held");
    Ok(HELD)
}

/// Sends one request after another on a kept connection.
fn play_client(
    client: u64,
    address: SocketAddr,
    ends_at: Instant,
    made: &Made,
    counts: &Counts,
    record: &Record,
) {
    let mut kept: Option<BufReader<TcpStream>> = None;
    let mut number = client;
    while Instant::now() < ends_at {
        thread::sleep(Duration::from_millis(130));
        let class = CLASSES[(number % 3) as usize];
        number += 1;
        let request = Request::new(
            class,
            client,
            2000,
            if class == "sighting-submit" { vec![b'x'; 40] } else { Vec::new() },
        );
        let mut stream = match kept.take() {
            Some(stream) => stream,
            None => match TcpStream::connect(address) {
                Ok(stream) => BufReader::new(stream),
                Err(_) => continue,
            },
        };
        let _ = stream.get_ref().set_nodelay(true);
        let _ = stream.get_ref().set_read_timeout(Some(Duration::from_millis(2550)));
        record.line(format!("send {} {class}", request.id));
        if stream.get_mut().write_all(&[request.head, request.body].concat()).is_err() {
            continue;
        }
        let Ok(Some(answer)) = read_message(&mut stream) else {
            record.line(format!("no answer {}", request.id));
            continue;
        };
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        record.line(format!("answer {} {} {text}", request.id, answer.status()));
        if answer.status() != 200 {
            counts.not_served.fetch_add(1, Ordering::Relaxed);
        } else {
            counts.served.fetch_add(1, Ordering::Relaxed);
            let is_made =
                made.lock().unwrap().get(&request.id).is_some_and(|bodies| bodies.contains(&answer.body));
            if !is_made {
                counts.wrong.fetch_add(1, Ordering::Relaxed);
                record.line(format!("WRONG {}: no app server made this body", request.id));
            }
        }
        if answer.header("connection") != "close" {
            kept = Some(stream);
        }
    }
}
