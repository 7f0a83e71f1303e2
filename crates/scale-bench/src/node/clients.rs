//! Clients at a rate: each request is sent when it is due, however late the answers to others are.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{timeout_at, Instant};

use super::settings::{CLASSES, FREE, PAID};
use super::{Arrivals, Options};
use crate::error::BenchError;
use crate::stand_ins::app_servers::{id, AppServers, Work};
use crate::stand_ins::mix;

/// How much later than its deadline an answer still counts as in time.
const SLACK: Duration = Duration::from_millis(50);
/// How long past the deadline an answer is still waited for, to tell one that is late from one that never comes.
pub const LATE_MOST: Duration = Duration::from_secs(1);
/// A body of any answer is at most this long.
const BODY_MOST: usize = 64 * 1024;
/// The longest latency that the histograms tell apart, in microseconds.
const LATENCY_MOST: u64 = 120_000_000;

/// A request to be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Planned {
    /// Its place among all, from 0; its id is made of it.
    pub number: u32,
    /// When, from the load's start on.
    pub due: Duration,
    /// Its place among the classes.
    pub class: usize,
    /// Whether its plan has a quota.
    pub paid: bool,
    /// The customer.
    pub customer: u64,
}

/// The requests of a run: the same for the same seed.
pub struct Plan {
    requests: Vec<Planned>,
}

impl Plan {
    /// Draws them.
    pub fn new(options: &Options) -> Plan {
        let mut rng = StdRng::seed_from_u64(mix(options.seed, 2));
        let (count, end) = (options.rate * options.load_s, options.load_s);
        let mut requests = Vec::with_capacity(count as usize);
        let (mut due, mean) = (0.0, 1.0 / options.rate);
        loop {
            due += match options.arrivals {
                Arrivals::Poisson => -(1.0 - rng.random::<f64>()).ln() * mean,
                Arrivals::Even => mean,
            };
            if due >= end {
                return Plan { requests };
            }
            let lot = rng.random::<f64>();
            let class = CLASSES.iter().position(|c| lot < c.up_to).unwrap_or(0);
            let paid = rng.random::<f64>() < options.quota_share;
            let tenant = rng.random_range(0..u64::from(options.tenants));
            requests.push(Planned {
                number: requests.len() as u32,
                due: Duration::from_secs_f64(due),
                class,
                paid,
                // Those under a quota and those under none are different tenants.
                customer: tenant * 2 + u64::from(paid),
            });
        }
    }

    /// The requests, in the order in which they are due.
    pub fn requests(&self) -> &[Planned] {
        &self.requests
    }
}

/// What all clients share.
struct Shared {
    edge: SocketAddr,
    deadline: Duration,
    nodes: u32,
    me: u32,
    spread: u32,
    seed: u64,
    body: Bytes,
    work: Work,
    servers: Arc<AppServers>,
    idle: Mutex<Vec<SendRequest<Full<Bytes>>>>,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// This status, in time.
    Status(u16),
    /// 200 in time, with a body that no app server made for it.
    WrongBody,
    /// An answer later than the deadline.
    Late,
    /// No answer at all, for as long as was waited.
    Lost,
    /// The connection failed or ended without an answer.
    Broken,
}

struct Done {
    number: u32,
    end: End,
    /// How late it was sent, and how long after it was due the answer, or the end of the wait, came.
    late: Duration,
    total: Duration,
    /// Whether it was sent once more, since the connection had been closed between requests.
    again: bool,
    opened: u32,
}

/// What the clients have seen.
pub struct Tally {
    /// Requests sent.
    pub sent: u64,
    /// Answers of 200 in time.
    pub served: u64,
    /// Answers of 429 in time.
    pub too_many: u64,
    /// Answers of 503 in time.
    pub unavailable: u64,
    /// Any other status in time.
    pub other: u64,
    /// 200 with a body that no app server made for the request.
    pub wrong_body: u64,
    /// Answers that came later than the deadline.
    pub late: u64,
    /// Never answered.
    pub lost: u64,
    /// Connections that failed or ended without an answer.
    pub broken: u64,
    /// Requests sent once more on a new connection.
    pub again: u64,
    /// Connections opened.
    pub connections: u64,
    /// Latency added, in microseconds: of requests served, however late, and of those lost.
    pub added: Histogram<u64>,
    /// The same from when they were sent: what the clients themselves were late by is left out.
    pub added_from_sent: Histogram<u64>,
    /// How late the clients sent, in microseconds.
    pub sent_late: Histogram<u64>,
    /// Attempts at app servers for these requests.
    pub attempts: u64,
}

fn histogram() -> Result<Histogram<u64>, BenchError> {
    Histogram::new_with_max(LATENCY_MOST, 3).map_err(|e| BenchError::Argument(e.to_string()))
}

fn micros(time: Duration) -> u64 {
    time.as_micros().min(u128::from(LATENCY_MOST)) as u64
}

impl Tally {
    fn new() -> Result<Tally, BenchError> {
        Ok(Tally {
            sent: 0,
            served: 0,
            too_many: 0,
            unavailable: 0,
            other: 0,
            wrong_body: 0,
            late: 0,
            lost: 0,
            broken: 0,
            again: 0,
            connections: 0,
            added: histogram()?,
            added_from_sent: histogram()?,
            sent_late: histogram()?,
            attempts: 0,
        })
    }

    fn take(&mut self, done: &Done, servers: &AppServers) {
        self.sent += 1;
        self.again += u64::from(done.again);
        self.connections += u64::from(done.opened);
        self.attempts += u64::from(servers.attempts(done.number));
        self.sent_late.saturating_record(micros(done.late));
        *match done.end {
            End::Status(200) => &mut self.served,
            End::Status(429) => &mut self.too_many,
            End::Status(503) => &mut self.unavailable,
            End::Status(_) => &mut self.other,
            End::WrongBody => &mut self.wrong_body,
            End::Late => &mut self.late,
            End::Lost => &mut self.lost,
            End::Broken => &mut self.broken,
        } += 1;
        if matches!(done.end, End::Status(200) | End::Late | End::Lost) {
            // What was never answered has waited that long at least; an app server's time for it is not known.
            let own = if done.end == End::Lost { Duration::ZERO } else { servers.own_time(done.number) };
            let added = done.total.saturating_sub(own);
            self.added.saturating_record(micros(added));
            self.added_from_sent.saturating_record(micros(added.saturating_sub(done.late)));
        }
    }
}

/// Sends the requests of the plan, each when it is due, and waits for the end of the last one.
pub async fn load(
    plan: Plan,
    edge: SocketAddr,
    options: &Options,
    servers: Arc<AppServers>,
    work: Work,
) -> Result<Tally, BenchError> {
    let shared = Arc::new(Shared {
        edge,
        deadline: Duration::from_millis(options.deadline_ms),
        nodes: options.nodes,
        me: options.me,
        spread: options.spread,
        seed: options.seed,
        body: Bytes::from(vec![b'.'; options.request_bytes]),
        work,
        servers,
        idle: Mutex::default(),
    });
    let (due, mut next) = mpsc::unbounded_channel();
    let (tell, mut told) = mpsc::unbounded_channel();
    let start = Instant::now();
    // Danger: the runtime's timers are late by up to a millisecond, as much as what is measured; a thread's sleep
    // is not. It ends with the plan, or when nobody listens any more.
    let pacer = std::thread::Builder::new().name("pacer".into()).spawn(move || {
        for planned in plan.requests {
            std::thread::sleep((start + planned.due).saturating_duration_since(Instant::now()));
            if due.send(planned).is_err() {
                return;
            }
        }
    });
    pacer.map_err(|source| BenchError::System { what: "cannot start a thread", source })?;
    let all = shared.clone();
    tokio::spawn(async move {
        while let Some(planned) = next.recv().await {
            let (shared, tell) = (all.clone(), tell.clone());
            tokio::spawn(async move {
                // The run may have ended meanwhile.
                let _ = tell.send(shared.request(planned, start).await);
            });
        }
    });
    let mut tally = Tally::new()?;
    while let Some(done) = told.recv().await {
        tally.take(&done, &shared.servers);
    }
    Ok(tally)
}

impl Shared {
    async fn request(&self, planned: Planned, start: Instant) -> Done {
        let due = start + planned.due;
        let sent = Instant::now();
        let (mut again, mut opened) = (false, 0);
        let exchange = self.exchange(&planned, &mut again, &mut opened);
        let outcome = timeout_at(sent + self.deadline + LATE_MOST, exchange).await;
        let now = Instant::now();
        let end = match outcome {
            Err(_) => End::Lost,
            Ok(None) => End::Broken,
            Ok(Some(_)) if now > sent + self.deadline + SLACK => End::Late,
            Ok(Some((200, body))) if body != self.work.answer(planned.number) => End::WrongBody,
            Ok(Some((status, _))) => End::Status(status),
        };
        Done { number: planned.number, end, late: sent - due, total: now - due, again, opened }
    }

    /// The answer's status and body, if there is one.
    async fn exchange(&self, planned: &Planned, again: &mut bool, opened: &mut u32) -> Option<(u16, Bytes)> {
        let mut line = self.kept();
        let mut reused = line.is_some();
        loop {
            let mut sender = match line.take() {
                Some(sender) => sender,
                None => {
                    *opened += 1;
                    self.open().await?
                }
            };
            match sender.send_request(self.message(planned)?).await {
                Ok(response) => {
                    let answer = read(response).await?;
                    if sender.ready().await.is_ok() {
                        self.idle.lock().unwrap_or_else(PoisonError::into_inner).push(sender);
                    }
                    return Some(answer);
                }
                // The close of a kept connection has crossed the request: it is sent once more, on a new one.
                Err(_) if std::mem::replace(&mut reused, false) => *again = true,
                Err(_) => return None,
            }
        }
    }

    /// The connection used last that is idle and open.
    fn kept(&self) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        std::iter::from_fn(|| idle.pop()).find(SendRequest::is_ready)
    }

    async fn open(&self) -> Option<SendRequest<Full<Bytes>>> {
        let stream = TcpStream::connect(self.edge).await.ok()?;
        let _ = stream.set_nodelay(true);
        let (sender, line) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        // It ends with its sender.
        tokio::spawn(line);
        Some(sender)
    }

    fn message(&self, planned: &Planned) -> Option<Request<Full<Bytes>>> {
        let class = &CLASSES[planned.class];
        let customer = planned.customer;
        // This node is at any place of a customer's set.
        let place = mix(self.seed, customer) % u64::from(self.spread);
        let first = (u64::from(self.me) + u64::from(self.nodes) - place) % u64::from(self.nodes);
        let mut request = Request::builder()
            .method(if class.body { Method::POST } else { Method::GET })
            .uri(format!("/{}?key={customer:016x}", class.name))
            .header("Host", "service.internal")
            .header("X-Request-Id", id(planned.number))
            .header("X-Class", class.name)
            .header("X-Tariff", if planned.paid { PAID } else { FREE })
            .header("X-Deadline-Ms", self.deadline.as_millis().to_string())
            .header("X-Weight", format!("units=1,spread={},first={first}", self.spread));
        if class.keyed {
            request = request.header("Idempotency-Key", format!("{:032x}", planned.number));
        }
        request.body(if class.body { Full::new(self.body.clone()) } else { Full::default() }).ok()
    }
}

async fn read(response: Response<hyper::body::Incoming>) -> Option<(u16, Bytes)> {
    let status = response.status().as_u16();
    let body = Limited::new(response.into_body(), BODY_MOST).collect().await.ok()?;
    Some((status, body.to_bytes()))
}
