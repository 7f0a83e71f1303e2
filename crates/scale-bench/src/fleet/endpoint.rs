//! A model endpoint (app server): cores shared evenly by the requests in work, worker slots, a bounded queue,
//! slow starts and overload failures.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use edge_node::decision::{EndpointEntry, EndpointId, EndpointState, Micros, WarmUp};

/// The speed of an endpoint that is warming up is updated at least this often.
const WARM_UP_STEP: Micros = 200_000;
/// A request with less work left than this, in microseconds, is done.
const NEGLIGIBLE_WORK: f64 = 0.5;

/// Identifies an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// The number of the try that it belongs to.
    pub request: u64,
    /// Its number within the try, from 0.
    pub number: u32,
}

/// What all endpoints have in common.
#[derive(Debug, Clone)]
pub struct EndpointModel {
    /// Cores.
    pub cores: f64,
    /// Requests in work at once.
    pub worker_slots: usize,
    /// Requests that wait beyond these.
    pub queue_length: usize,
    /// Mean work of a request, in microseconds of one core.
    pub mean_work: f64,
    /// Slow starts and overload failures, as the nodes' settings describe them.
    pub warm_up: WarmUp,
}

/// The state of an endpoint's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessState {
    /// It serves.
    Up,
    /// Unresponsive: nothing comes back and no connection is established.
    Vanished,
    /// Its process has ended: connections are reset and refused.
    Dead,
}

/// What happened to a request that arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    /// In work or queued.
    Accepted,
    /// Rejected because the queue is full.
    Rejected,
    /// It overloaded an endpoint that was warming up; all that the endpoint held is lost.
    Overloaded(OverloadCause),
}

/// Which nodes sent most of the load that an endpoint failed under.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OverloadCause {
    /// Over two thirds came from nodes that had been notified of the endpoint's start.
    NotifiedNodes,
    /// Less than that.
    OtherNodes,
}

/// One request that arrives at an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct IncomingRequest {
    /// The attempt.
    pub attempt: AttemptId,
    /// Its work, in microseconds of one core.
    pub work: f64,
    /// Whether its node had been notified of the endpoint's start.
    pub sender_notified: bool,
}

/// A request in work, ordered by when it is done.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct InWork {
    /// The value of `work_done_per_request` at which it is done, as the bits of a non-negative number.
    done_at_bits: u64,
    order: u64,
    attempt: AttemptId,
}

struct Queued {
    attempt: AttemptId,
    work: f64,
}

/// A request that came while the endpoint was warming up.
struct WarmUpLoad {
    at: Micros,
    /// Its work in requests of mean work.
    requests: f64,
    sender_notified: bool,
}

/// One endpoint.
pub struct ModelEndpoint {
    /// Its id on the list.
    pub id: EndpointId,
    /// Its zone.
    pub zone: u32,
    /// Whether it serves.
    pub state: ProcessState,
    /// Counts its processes: a connection to an earlier one is useless.
    pub incarnation: u32,
    /// When it started; 0 means long ago.
    pub started_at: Micros,
    /// The list revision before the one that announced its start.
    pub announced_after: usize,
    /// Requests that arrived in the measured time.
    pub received: u64,
    /// Nodes that sent to it in the measured time.
    pub sending_nodes: u32,
    /// Whether it was up and warm through all of the measured time.
    pub steady: bool,
    /// Distinguishes the latest wake-up from earlier ones, which are void.
    pub wake_up_number: u64,
    /// Work done for each request in work since the start, in microseconds.
    work_done_per_request: f64,
    advanced_at: Micros,
    speed: f64,
    in_work: BinaryHeap<Reverse<InWork>>,
    queued: VecDeque<Queued>,
    accepted: u64,
    warm_up_load: VecDeque<WarmUpLoad>,
}

impl ModelEndpoint {
    /// Creates an endpoint that starts at `started_at`, or that has been up for long if that is 0.
    pub fn new(id: EndpointId, zone: u32, started_at: Micros, announced_after: usize) -> Self {
        ModelEndpoint {
            id,
            zone,
            state: ProcessState::Up,
            incarnation: 0,
            started_at,
            announced_after,
            received: 0,
            sending_nodes: 0,
            steady: started_at == 0,
            wake_up_number: 0,
            work_done_per_request: 0.0,
            advanced_at: 0,
            speed: 0.0,
            in_work: BinaryHeap::new(),
            queued: VecDeque::new(),
            accepted: 0,
            warm_up_load: VecDeque::new(),
        }
    }

    /// Its entry on the endpoint list.
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

    /// Takes a request that arrives now.
    pub fn accept(&mut self, model: &EndpointModel, now: Micros, request: IncomingRequest) -> Arrival {
        if let Some(cause) = self.overloaded_by(model, now, request) {
            return Arrival::Overloaded(cause);
        }
        if self.in_work.len() >= model.worker_slots && self.queued.len() >= model.queue_length {
            return Arrival::Rejected;
        }
        self.advance(now);
        self.queued.push_back(Queued { attempt: request.attempt, work: request.work });
        self.fill_slots(model);
        Arrival::Accepted
    }

    /// Takes out the requests that are done by now.
    pub fn take_done(&mut self, model: &EndpointModel, now: Micros) -> Vec<AttemptId> {
        self.advance(now);
        let mut done = Vec::new();
        while let Some(Reverse(next)) = self.in_work.peek() {
            if f64::from_bits(next.done_at_bits) > self.work_done_per_request + NEGLIGIBLE_WORK {
                break;
            }
            done.push(next.attempt);
            self.in_work.pop();
        }
        self.fill_slots(model);
        done
    }

    /// Drops a request that is still queued, because its connection was closed. Requests in work run on.
    pub fn drop_queued(&mut self, attempt: AttemptId) {
        self.queued.retain(|queued| queued.attempt != attempt);
    }

    /// Sets the speed for the requests in work now and returns when to wake the endpoint next, if there are any.
    pub fn plan_wake_up(&mut self, model: &EndpointModel, now: Micros) -> Option<Micros> {
        self.wake_up_number += 1;
        let Reverse(next) = self.in_work.peek()?;
        let warm_fraction = self.warm_fraction(model, now);
        let speed = (model.cores * warm_fraction / self.in_work.len() as f64).min(1.0);
        let work_left = f64::from_bits(next.done_at_bits) - self.work_done_per_request;
        let time_left = (work_left / speed).max(1.0).ceil() as Micros;
        self.speed = speed;
        if warm_fraction < 1.0 {
            Some(now + time_left.min(WARM_UP_STEP))
        } else {
            Some(now + time_left)
        }
    }

    /// Ends the process and returns what it held, in the order of arrival.
    pub fn end(&mut self, state: ProcessState) -> Vec<AttemptId> {
        self.state = state;
        self.steady = false;
        self.wake_up_number += 1;
        self.incarnation += 1;
        self.warm_up_load.clear();
        let mut in_work: Vec<InWork> = self.in_work.drain().map(|Reverse(request)| request).collect();
        in_work.sort_unstable_by_key(|request| request.order);
        let in_work = in_work.into_iter().map(|request| request.attempt);
        in_work.chain(self.queued.drain(..).map(|queued| queued.attempt)).collect()
    }

    /// Starts a new process, which has to warm up.
    pub fn start(&mut self, now: Micros, announced_after: usize) {
        self.state = ProcessState::Up;
        self.started_at = now;
        self.announced_after = announced_after;
    }

    /// The share of its capacity that it has now: grows linearly from the initial fraction to 1.
    fn warm_fraction(&self, model: &EndpointModel, now: Micros) -> f64 {
        let warm_up = &model.warm_up;
        if self.started_at == 0 || warm_up.duration == 0 {
            return 1.0;
        }
        let age = now.saturating_sub(self.started_at) as f64 / warm_up.duration as f64;
        (warm_up.initial_fraction + (1.0 - warm_up.initial_fraction) * age).min(1.0)
    }

    /// Whether this request overloads an endpoint that is warming up: it fails when more than
    /// `N + 2 * sqrt(N) + 2` requests of mean work come within the settings' time, where N is what the settings
    /// allow at this point of the warm-up. Rejected requests count as well.
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

    fn advance(&mut self, now: Micros) {
        if !self.in_work.is_empty() {
            self.work_done_per_request += now.saturating_sub(self.advanced_at) as f64 * self.speed;
        }
        self.advanced_at = now;
    }

    fn fill_slots(&mut self, model: &EndpointModel) {
        while self.in_work.len() < model.worker_slots {
            let Some(next) = self.queued.pop_front() else { break };
            self.accepted += 1;
            self.in_work.push(Reverse(InWork {
                done_at_bits: (self.work_done_per_request + next.work).to_bits(),
                order: self.accepted,
                attempt: next.attempt,
            }));
        }
    }
}
