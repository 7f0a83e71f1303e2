//! Failures by name: what breaks, when, and what comes back.

use clap::ValueEnum;
use edge_node::decision::{EndpointEntry, EndpointId, EndpointState, Micros};
use rand::seq::SliceRandom;
use rand::Rng;
use serde::Serialize;

use super::counter::Mood;
use super::server::{Server, State};
use super::world::{Happening, World};

/// A failure, or a planned change that has to go unnoticed.
#[derive(ValueEnum, Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fail {
    /// Nothing fails
    Calm,
    /// A tenth of the nodes die at once and start again with empty state and an old list
    RestartTenth,
    /// A group of servers vanishes silently and returns cold
    Rack,
    /// A zone's servers and nodes vanish silently and return cold
    Zone,
    /// Half of the nodes, drawn by lot, vanish silently and start again with empty state and an old list
    HalfDown,
    /// A region's nodes can't reach the other regions' servers, and the other way round
    RegionCut,
    /// The counter takes calls in and says nothing
    CounterSilent,
    /// The counter turns every call away
    CounterBusy,
    /// A share of the servers is replaced in steps by new ones that start cold
    Release,
}

/// One step of a failure, at its time.
#[derive(Debug, Clone, Copy)]
pub enum Step {
    /// It begins.
    Begin,
    /// It is over.
    End,
    /// The n-th group of a release drains.
    Drain(u32),
    /// The n-th group of a release is replaced.
    Replace(u32),
}

/// How long a server of a release drains before its process ends, microseconds.
const DRAIN: Micros = 2_000_000;

impl World {
    /// Puts the failure's steps into the queue.
    pub(super) fn plan_failure(&mut self) {
        let (begin, span) = (self.fail_at(), self.options.fail_for_ms * 1_000);
        match self.options.fail {
            Fail::Calm => {}
            Fail::Release => {
                let steps = self.options.release_steps;
                let mut order: Vec<usize> = (0..self.servers.len()).collect();
                order.shuffle(&mut self.random);
                let count = (order.len() as f64 * self.options.release_share).round() as usize;
                order.truncate(count.max(1));
                self.released = order;
                for step in 0..steps {
                    let at = begin + span * Micros::from(step) / Micros::from(steps);
                    self.queue.at(at, Happening::Fault(Step::Drain(step)));
                    self.queue.at(at + DRAIN, Happening::Fault(Step::Replace(step)));
                }
            }
            _ => {
                self.queue.at(begin, Happening::Fault(Step::Begin));
                self.queue.at(begin + span, Happening::Fault(Step::End));
            }
        }
    }

    /// Carries out a step.
    pub(super) fn fault(&mut self, step: Step) {
        if matches!(step, Step::Begin) {
            self.forget_met();
        }
        match (self.options.fail, step) {
            (Fail::RestartTenth, Step::Begin) => {
                let mut order: Vec<usize> = (0..self.nodes.len()).collect();
                order.shuffle(&mut self.random);
                order.truncate(self.nodes.len().div_ceil(10));
                for node in order {
                    self.node_down(node, false);
                    self.boot(node);
                }
            }
            (Fail::Rack, Step::Begin) => {
                let mut order: Vec<usize> = (0..self.servers.len()).collect();
                order.shuffle(&mut self.random);
                let count = (order.len() as f64 * self.options.rack_share).round() as usize;
                order.truncate(count.max(1));
                order.iter().for_each(|&server| self.vanish(server));
                self.broken = order;
            }
            (Fail::Zone, Step::Begin) => {
                let zone = self.random.random_range(0..self.options.zones);
                self.broken = (0..self.servers.len()).filter(|&s| self.servers[s].zone == zone).collect();
                self.broken.clone().into_iter().for_each(|server| self.vanish(server));
                self.broken_nodes = (0..self.nodes.len()).filter(|&n| self.nodes[n].zone == zone).collect();
                self.broken_nodes.clone().into_iter().for_each(|node| self.node_down(node, true));
            }
            (Fail::HalfDown, Step::Begin) => {
                let mut order: Vec<usize> = (0..self.nodes.len()).collect();
                order.shuffle(&mut self.random);
                order.truncate(self.nodes.len() / 2);
                order.iter().for_each(|&node| self.node_down(node, true));
                self.broken_nodes = order;
            }
            (Fail::Rack | Fail::Zone | Fail::HalfDown, Step::End) => {
                for server in std::mem::take(&mut self.broken) {
                    self.come_back(server);
                }
                for node in std::mem::take(&mut self.broken_nodes) {
                    self.boot(node);
                }
            }
            (Fail::RegionCut, Step::Begin) => {
                self.cut = Some(self.random.random_range(0..self.options.regions));
            }
            (Fail::RegionCut, Step::End) => self.cut = None,
            (Fail::CounterSilent, Step::Begin) => self.counter.mood = Mood::Silent,
            (Fail::CounterBusy, Step::Begin) => self.counter.mood = Mood::Busy,
            (Fail::CounterSilent | Fail::CounterBusy, Step::End) => self.counter.mood = Mood::Well,
            (Fail::Release, Step::Drain(step)) => {
                for server in self.group(step) {
                    self.publish(server, EndpointState::Draining);
                }
            }
            (Fail::Release, Step::Replace(step)) => {
                for server in self.group(step) {
                    self.publish(server, EndpointState::Removed);
                    self.kill(server);
                    self.join(self.servers[server].zone);
                }
            }
            _ => {}
        }
    }

    /// A node's process comes back after about the time that the options say.
    fn boot(&mut self, node: usize) {
        let mean = self.options.boot_ms * 1_000;
        let after = self.random.random_range(mean / 2..=mean + mean / 2);
        self.queue.at(self.queue.now() + after, Happening::NodeUp(node as u32));
    }

    /// The servers of one step of a release.
    fn group(&self, step: u32) -> Vec<usize> {
        let (count, steps) = (self.released.len(), self.options.release_steps as usize);
        let (from, to) = (count * step as usize / steps, count * (step as usize + 1) / steps);
        self.released[from..to].to_vec()
    }

    /// A server's machine falls silent; discovery notices later.
    fn vanish(&mut self, server: usize) {
        // What it held is never answered: the nodes' own limits end it.
        self.servers[server].end(State::Vanished);
        let (life, at) = (self.servers[server].life, self.queue.now() + self.options.detect_ms * 1_000);
        self.queue.at(at, Happening::Missed { server: server as u32, life });
    }

    /// A server's process ends: what it held is reset.
    pub(super) fn kill(&mut self, server: usize) {
        let held = self.servers[server].end(State::Dead);
        for job in held {
            self.answer(server, job, edge_node::decision::Outcome::Reset);
        }
    }

    /// A vanished server is back under its old id, cold.
    fn come_back(&mut self, server: usize) {
        let (now, change) = (self.queue.now(), self.changes.len());
        if self.servers[server].state == State::Vanished {
            self.servers[server].start(now, change);
            self.cold_started += 1;
            self.publish(server, EndpointState::Active);
        }
    }

    /// A new server starts, cold.
    fn join(&mut self, zone: u32) {
        let (now, change) = (self.queue.now(), self.changes.len());
        let id = EndpointId(self.random.random());
        let server = self.servers.len();
        self.by_id.insert(id.0, server as u32);
        self.servers.push(Server::new(id, zone, now, change));
        self.met_by.push(0);
        self.cold_started += 1;
        self.publish(server, EndpointState::Active);
    }

    /// Puts a change on the list and tells each node's agent after its own delay, in order.
    pub(super) fn publish(&mut self, server: usize, state: EndpointState) {
        let entry = self.member(server, state);
        self.changes.push(entry);
        let (now, upto) = (self.queue.now(), self.changes.len());
        for node in 0..self.nodes.len() {
            let delay = (self.options.list_delay_ms as f64
                * 1e3
                * super::customers::exponential(&mut self.random)) as Micros;
            let told = &mut self.nodes[node].agent_busy;
            *told = (*told).max(now + delay.min(self.options.list_delay_most_ms * 1_000));
            self.queue.at(*told, Happening::Told { node: node as u32, upto });
        }
    }

    /// A server as the list shows it.
    pub(super) fn member(&self, server: usize, state: EndpointState) -> EndpointEntry {
        let s = &self.servers[server];
        EndpointEntry {
            id: s.id,
            zone: s.zone,
            cell: s.zone,
            state,
            started_at: s.started,
            weight: 1.0,
            ..EndpointEntry::default()
        }
    }
}
