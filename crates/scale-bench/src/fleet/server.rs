//! A model app server: cores shared evenly by what is in work, slots, a bounded queue, cold starts and falls.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use edge_node::decision::{EndpointId, Micros, WarmUp};

/// A cold server's speed is looked at again at least this often.
const COLD_STEP: Micros = 200_000;
/// What is left of a work of less than this, in microseconds, is done.
const DONE: f64 = 0.5;

/// An attempt at a server: the try's number and the attempt's.
pub type Job = (u64, u32);

/// What all servers have in common.
#[derive(Debug, Clone)]
pub struct Machine {
    /// Cores.
    pub cores: f64,
    /// Requests in work at once.
    pub slots: usize,
    /// Requests that wait beyond these.
    pub queue: usize,
    /// Mean work of a request, microseconds of one core.
    pub mean_work: f64,
    /// Cold starts and falls, as the settings tell the nodes.
    pub rules: WarmUp,
}

/// What a server's machine is at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It serves.
    Up,
    /// Silent: nothing comes back, no connection comes up.
    Vanished,
    /// Its process is gone: connections are reset and refused.
    Dead,
}

/// What became of a request that arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Taken {
    /// In work or waiting.
    Yes,
    /// Turned away unseen.
    Full,
    /// It was the one too many for a cold server; all that it held is lost. Whether over two thirds of what
    /// pushed it came from nodes that had been told of its start.
    Fell(bool),
}

/// One app server.
pub struct Server {
    /// Its id on the list.
    pub id: EndpointId,
    /// Its zone.
    pub zone: u32,
    /// Whether it serves.
    pub state: State,
    /// Counts its lives: connections of an earlier one are no use.
    pub life: u32,
    /// When it started; 0: long ago.
    pub started: Micros,
    /// The number of the list change that told of its start.
    pub told_by: usize,
    /// Requests that arrived in the time measured.
    pub received: u64,
    /// Whether it was up and warm through all of the time measured.
    pub steady: bool,
    /// Work done by each request in work since the start, microseconds.
    worked: f64,
    since: Micros,
    speed: f64,
    working: BinaryHeap<Reverse<(u64, u64, Job)>>,
    waiting: VecDeque<(Job, f64)>,
    order: u64,
    /// Tells the latest wake-up from earlier ones.
    pub stamp: u64,
    /// What came while it was cold: when, how much in mean requests, from a node that knew.
    recent: VecDeque<(Micros, f64, bool)>,
}

impl Server {
    /// A server that has been up for long, or one that starts now.
    pub fn new(id: EndpointId, zone: u32, started: Micros, told_by: usize) -> Self {
        Server {
            id,
            zone,
            state: State::Up,
            life: 0,
            started,
            told_by,
            received: 0,
            steady: started == 0,
            worked: 0.0,
            since: 0,
            speed: 0.0,
            working: BinaryHeap::new(),
            waiting: VecDeque::new(),
            order: 0,
            stamp: 0,
            recent: VecDeque::new(),
        }
    }

    /// The share of its capacity that it has now: evenly from the cold share to the full.
    pub fn warmth(&self, machine: &Machine, now: Micros) -> f64 {
        let rules = &machine.rules;
        if self.started == 0 || rules.duration == 0 {
            return 1.0;
        }
        let age = now.saturating_sub(self.started) as f64 / rules.duration as f64;
        (rules.initial_fraction + (1.0 - rules.initial_fraction) * age).min(1.0)
    }

    /// Takes a request of this work (microseconds of one core) that arrives now.
    pub fn take(&mut self, machine: &Machine, now: Micros, job: Job, work: f64, told: bool) -> Taken {
        if let Some(told) = self.pushed_over(machine, now, work, told) {
            return Taken::Fell(told);
        }
        if self.working.len() >= machine.slots && self.waiting.len() >= machine.queue {
            return Taken::Full;
        }
        self.advance(now);
        self.waiting.push_back((job, work));
        self.fill(machine);
        Taken::Yes
    }

    /// Danger: a cold server falls when it gets more than N + 2 * root of N + 2 requests of mean work in the
    /// settings' time, N being what the settings allow it then. What it turns away counts, too.
    fn pushed_over(&mut self, machine: &Machine, now: Micros, work: f64, told: bool) -> Option<bool> {
        let (rules, warmth) = (&machine.rules, self.warmth(machine, now));
        if warmth >= 1.0 {
            self.recent.clear();
            return None;
        }
        self.recent.push_back((now, work / machine.mean_work, told));
        while self.recent.front().is_some_and(|r| r.0 + rules.overload_duration < now) {
            self.recent.pop_front();
        }
        let allowed = rules.overload_multiple * warmth * machine.cores * rules.overload_duration as f64
            / machine.mean_work;
        let came: f64 = self.recent.iter().map(|r| r.1).sum();
        let knew: f64 = self.recent.iter().filter(|r| r.2).map(|r| r.1).sum();
        (came > allowed + 2.0 * allowed.sqrt() + 2.0).then_some(knew > came * 2.0 / 3.0)
    }

    /// Takes out what is done by now.
    pub fn done(&mut self, machine: &Machine, now: Micros) -> Vec<Job> {
        self.advance(now);
        let mut done = Vec::new();
        while let Some(&Reverse((end, _, job))) = self.working.peek() {
            if f64::from_bits(end) > self.worked + DONE {
                break;
            }
            self.working.pop();
            done.push(job);
        }
        self.fill(machine);
        done
    }

    /// Drops a request that still waits: its connection was closed. What is in work runs to its end.
    pub fn drop_waiting(&mut self, job: Job) {
        self.waiting.retain(|(waiting, _)| *waiting != job);
    }

    /// Sets the speed for what it holds now, and tells when to look again.
    pub fn next(&mut self, machine: &Machine, now: Micros) -> Option<Micros> {
        self.stamp += 1;
        let Reverse((end, ..)) = *self.working.peek()?;
        let warmth = self.warmth(machine, now);
        self.speed = (machine.cores * warmth / self.working.len() as f64).min(1.0);
        let left = ((f64::from_bits(end) - self.worked) / self.speed).max(1.0).ceil() as Micros;
        Some(now + if warmth < 1.0 { left.min(COLD_STEP) } else { left })
    }

    /// Ends this life and gives what it held, in order.
    pub fn end(&mut self, state: State) -> Vec<Job> {
        (self.state, self.steady) = (state, false);
        self.stamp += 1;
        self.life += 1;
        self.recent.clear();
        let mut held: Vec<_> = self.working.drain().map(|Reverse((_, order, job))| (order, job)).collect();
        held.sort_unstable();
        held.into_iter().map(|(_, job)| job).chain(self.waiting.drain(..).map(|(job, _)| job)).collect()
    }

    /// Begins a life, cold.
    pub fn start(&mut self, now: Micros, told_by: usize) {
        (self.state, self.started, self.told_by) = (State::Up, now, told_by);
    }

    fn advance(&mut self, now: Micros) {
        if !self.working.is_empty() {
            self.worked += now.saturating_sub(self.since) as f64 * self.speed;
        }
        self.since = now;
    }

    fn fill(&mut self, machine: &Machine) {
        while self.working.len() < machine.slots {
            let Some((job, work)) = self.waiting.pop_front() else { break };
            self.order += 1;
            self.working.push(Reverse(((self.worked + work).to_bits(), self.order, job)));
        }
    }
}
