//! Models an endpoint (app server): its running requests share its cores evenly, each running request
//! occupies a worker slot, and a bounded queue holds the waiting requests. An endpoint that warms up has a
//! reduced capacity, and it fails if it is overloaded meanwhile.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use edge_node::decision::{EndpointEntry, EndpointId, EndpointState, Micros, WarmUp};

/// Longest time between two updates of the speed of an endpoint that is warming up.
const WARM_UP_STEP: Micros = 200_000;
/// A request is done when its remaining work, in microseconds of one core, is at most this.
const NEGLIGIBLE_WORK: f64 = 0.5;

/// Identifies an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// Number of the try that the attempt belongs to, unique in the run.
    pub try_number: u64,
    /// Number of the attempt within the try, from 0.
    pub number: u32,
}

/// The parameters that all endpoints share.
#[derive(Debug, Clone)]
pub struct EndpointModel {
    /// Number of cores of an endpoint.
    pub cores: f64,
    /// Maximum number of requests that an endpoint runs at once.
    pub worker_slots: usize,
    /// Maximum number of requests that wait in an endpoint's queue.
    pub queue_length: usize,
    /// Mean work of a request, in microseconds of one core, without the work of a handshake.
    pub mean_work: f64,
    /// How an endpoint warms up, and the load under which it fails meanwhile. The nodes' settings hold the
    /// same values.
    pub warm_up: WarmUp,
}

/// The state of an endpoint's process. In the model, a process that becomes unresponsive counts as ended,
/// like one that exits, because it never responds again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessState {
    /// It serves requests.
    Up,
    /// It sends nothing back, and no connection to it can be established.
    Unresponsive,
    /// It has exited: its connections are reset, and new ones are refused.
    Dead,
}

/// What an endpoint did with a request that arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    /// The request is running or queued.
    Accepted,
    /// The request was rejected because the queue is full.
    Rejected,
    /// The request overloaded the endpoint, which was warming up. The endpoint fails with all requests that
    /// it holds.
    Overloaded(OverloadCause),
}

/// Which nodes sent most of the load that overloaded an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OverloadCause {
    /// More than two thirds of the load came from nodes that had been notified of the endpoint's start.
    NotifiedNodes,
    /// At most two thirds of the load came from such nodes.
    OtherNodes,
}

/// A request that arrives at an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct IncomingRequest {
    /// The attempt that sent it.
    pub attempt: AttemptId,
    /// Its work, in microseconds of one core.
    pub work: f64,
    /// Whether the node that sent it had been notified of the endpoint's latest start.
    pub sender_notified: bool,
}

/// A request that occupies a worker slot. Requests are ordered by completion, then by when they started to
/// run.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct RunningRequest {
    /// The value of `work_done_per_request` at which it is done, as the bits of an `f64`. As the value is
    /// never negative, the bits are ordered like the values.
    done_at_bits: u64,
    /// The endpoint's count of started requests when this one started to run.
    sequence: u64,
    attempt: AttemptId,
}

struct QueuedRequest {
    attempt: AttemptId,
    work: f64,
}

/// A request that arrived while the endpoint was warming up.
struct WarmUpLoad {
    at: Micros,
    /// Its work as a multiple of the mean work of a request.
    requests: f64,
    sender_notified: bool,
}

/// A modelled endpoint.
pub struct ModelEndpoint {
    /// Its id on the endpoint list.
    pub id: EndpointId,
    /// Its zone.
    pub zone: u32,
    /// The state of its process.
    pub state: ProcessState,
    /// Number of its processes that have ended, which identifies its current process, or its next one while
    /// none is up. Connections to earlier processes are not usable.
    pub incarnation: u32,
    /// When its current process started; 0 means long ago.
    pub started_at: Micros,
    /// The latest revision of the endpoint list before its start was published.
    pub revision_before_start: usize,
    /// Number of requests that arrived while it was up, in the measured time.
    pub received: u64,
    /// Number of nodes that started an attempt to it in the measured time. The count restarts from 0 when a
    /// failure starts.
    pub sending_nodes: u32,
    /// Whether it has been up and warm since the start of the run.
    pub warm_throughout: bool,
    /// Number of the latest scheduled wake-up. Wake-ups with an earlier number are ignored.
    pub wake_up_number: u64,
    /// Work that a request would have received if it had been running since the endpoint was created, in
    /// microseconds of one core.
    work_done_per_request: f64,
    /// When `work_done_per_request` was last brought up to date.
    advanced_at: Micros,
    /// Cores that each running request has, at most 1.
    speed: f64,
    running: BinaryHeap<Reverse<RunningRequest>>,
    queued: VecDeque<QueuedRequest>,
    /// Number of requests that have started to run.
    started_requests: u64,
    /// The load in the `overload_duration` before the latest arrival, in the order of arrival. It is cleared
    /// when a request arrives at a warm endpoint.
    warm_up_load: VecDeque<WarmUpLoad>,
}

impl ModelEndpoint {
    /// Creates an endpoint that starts at `started_at`. If that is 0, the endpoint has been up long enough to
    /// be warm.
    pub fn new(id: EndpointId, zone: u32, started_at: Micros, revision_before_start: usize) -> Self {
        ModelEndpoint {
            id,
            zone,
            state: ProcessState::Up,
            incarnation: 0,
            started_at,
            revision_before_start,
            received: 0,
            sending_nodes: 0,
            warm_throughout: started_at == 0,
            wake_up_number: 0,
            work_done_per_request: 0.0,
            advanced_at: 0,
            speed: 0.0,
            running: BinaryHeap::new(),
            queued: VecDeque::new(),
            started_requests: 0,
            warm_up_load: VecDeque::new(),
        }
    }

    /// Returns its entry of the endpoint list, with the given state.
    pub fn list_entry(&self, state: EndpointState) -> EndpointEntry {
        EndpointEntry {
            id: self.id,
            zone: self.zone,
            cell: self.zone,
            state,
            started_at: self.started_at,
            weight: 1.0,
            ..EndpointEntry::default()
        }
    }

    /// Handles a request that arrives now: runs or queues it, rejects it, or reports that it overloads the
    /// endpoint.
    pub fn accept(&mut self, model: &EndpointModel, now: Micros, request: IncomingRequest) -> Arrival {
        if let Some(cause) = self.overloaded_by(model, now, request) {
            return Arrival::Overloaded(cause);
        }
        if self.running.len() >= model.worker_slots && self.queued.len() >= model.queue_length {
            return Arrival::Rejected;
        }
        self.advance(now);
        self.queued.push_back(QueuedRequest { attempt: request.attempt, work: request.work });
        self.fill_slots(model);
        Arrival::Accepted
    }

    /// Removes the requests that are done by now and returns them. Queued requests take their slots.
    pub fn take_done(&mut self, model: &EndpointModel, now: Micros) -> Vec<AttemptId> {
        self.advance(now);
        let mut done = Vec::new();
        while let Some(Reverse(next)) = self.running.peek() {
            if f64::from_bits(next.done_at_bits) > self.work_done_per_request + NEGLIGIBLE_WORK {
                break;
            }
            done.push(next.attempt);
            self.running.pop();
        }
        self.fill_slots(model);
        done
    }

    /// Drops a request whose connection was closed if it is still queued. A running request continues to run.
    pub fn drop_queued(&mut self, attempt: AttemptId) {
        self.queued.retain(|queued| queued.attempt != attempt);
    }

    /// Sets the speed for the requests that are running now, and returns when the endpoint has to be woken up
    /// next. Returns `None` if no request is running.
    pub fn plan_wake_up(&mut self, model: &EndpointModel, now: Micros) -> Option<Micros> {
        self.wake_up_number += 1;
        let Reverse(next) = self.running.peek()?;
        let warm_fraction = self.warm_fraction(model, now);
        let speed = (model.cores * warm_fraction / self.running.len() as f64).min(1.0);
        let work_left = f64::from_bits(next.done_at_bits) - self.work_done_per_request;
        let time_left = (work_left / speed).max(1.0).ceil() as Micros;
        self.speed = speed;
        if warm_fraction < 1.0 {
            Some(now + time_left.min(WARM_UP_STEP))
        } else {
            Some(now + time_left)
        }
    }

    /// Ends the process, which becomes unresponsive or dead, as `state` says. Returns the requests that it
    /// held, in the order of arrival.
    pub fn take_down(&mut self, state: ProcessState) -> Vec<AttemptId> {
        self.state = state;
        self.warm_throughout = false;
        self.wake_up_number += 1;
        self.incarnation += 1;
        self.warm_up_load.clear();
        let mut running: Vec<RunningRequest> = self.running.drain().map(|Reverse(request)| request).collect();
        running.sort_unstable_by_key(|request| request.sequence);
        let running = running.into_iter().map(|request| request.attempt);
        running.chain(self.queued.drain(..).map(|queued| queued.attempt)).collect()
    }

    /// Starts a new process, which has to warm up. Its start is published after list revision
    /// `revision_before_start`.
    pub fn start(&mut self, now: Micros, revision_before_start: usize) {
        self.state = ProcessState::Up;
        self.started_at = now;
        self.revision_before_start = revision_before_start;
    }

    /// Returns the share of its full capacity that it has now. The share grows linearly from the initial
    /// fraction to 1.
    fn warm_fraction(&self, model: &EndpointModel, now: Micros) -> f64 {
        let warm_up = &model.warm_up;
        if self.started_at == 0 || warm_up.duration == 0 {
            return 1.0;
        }
        let age = now.saturating_sub(self.started_at) as f64 / warm_up.duration as f64;
        (warm_up.initial_fraction + (1.0 - warm_up.initial_fraction) * age).min(1.0)
    }

    /// Records a request that arrives now, and returns the cause if it overloads the endpoint. Returns `None`
    /// if the endpoint is warm or not overloaded.
    ///
    /// An endpoint that is warming up is overloaded if more than `N + 2 * sqrt(N) + 2` requests of mean work
    /// arrive within `overload_duration`, where N is the number that the settings allow at this point of the
    /// warm-up. Rejected requests count as well.
    fn overloaded_by(
        &mut self,
        model: &EndpointModel,
        now: Micros,
        request: IncomingRequest,
    ) -> Option<OverloadCause> {
        let warm_up = &model.warm_up;
        let warm_fraction = self.warm_fraction(model, now);
        if warm_fraction >= 1.0 {
            self.warm_up_load.clear();
            return None;
        }
        let requests = request.work / model.mean_work;
        let sender_notified = request.sender_notified;
        self.warm_up_load.push_back(WarmUpLoad { at: now, requests, sender_notified });
        while self.warm_up_load.front().is_some_and(|load| load.at + warm_up.overload_duration < now) {
            self.warm_up_load.pop_front();
        }
        let allowed =
            warm_up.overload_multiple * warm_fraction * model.cores * warm_up.overload_duration as f64
                / model.mean_work;
        let total: f64 = self.warm_up_load.iter().map(|load| load.requests).sum();
        if total <= allowed + 2.0 * allowed.sqrt() + 2.0 {
            return None;
        }
        let notified = self.warm_up_load.iter().filter(|load| load.sender_notified);
        let from_notified: f64 = notified.map(|load| load.requests).sum();
        if from_notified > total * 2.0 / 3.0 {
            Some(OverloadCause::NotifiedNodes)
        } else {
            Some(OverloadCause::OtherNodes)
        }
    }

    /// Brings `work_done_per_request` up to date.
    fn advance(&mut self, now: Micros) {
        if !self.running.is_empty() {
            self.work_done_per_request += now.saturating_sub(self.advanced_at) as f64 * self.speed;
        }
        self.advanced_at = now;
    }

    /// Moves queued requests into free worker slots.
    fn fill_slots(&mut self, model: &EndpointModel) {
        while self.running.len() < model.worker_slots {
            let Some(next) = self.queued.pop_front() else { break };
            self.started_requests += 1;
            self.running.push(Reverse(RunningRequest {
                done_at_bits: (self.work_done_per_request + next.work).to_bits(),
                sequence: self.started_requests,
                attempt: next.attempt,
            }));
        }
    }
}
