//! The app servers that a node knows, with one owner: in order, met ones, totals. Danger: what looks through
//! all for each request or tick grows with the fleet: with some ten thousand a node can't serve at all.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::decision::estimators::{Bucket, Rate, Tally};
use crate::decision::load_shedding::DONE_SPAN;
use crate::decision::{
    DeduplicationScope, EndpointEntry, EndpointId, EndpointState, Idempotency, Micros, RequestClass,
};

/// A list of up to so many servers is looked through whole for an attempt: some microseconds. Of a longer one
/// it is the subset and, where nobody there is open, so many of the rest: the best of them is in the best
/// fiftieth but once in a hundred times. So many servers met are never forgotten, too.
pub(in crate::decision) const LOOKS: usize = 256;

#[derive(Default)]
pub(in crate::decision) struct Server {
    /// What the list told last, but for the latest start.
    pub told: EndpointEntry,
    /// When the attempts that are out were sent. The roster alone changes it.
    pub in_flight: VecDeque<Micros>,
    pub latency: f64,
    pub done: Rate,
    /// How attempts ended, by kind: class or plan.
    pub tally: BTreeMap<usize, Tally>,
    pub heard: Micros,
    /// When the latest of the attempts was sent that it has answered.
    pub answered: Micros,
    /// Ejections since its last answer or start.
    pub strikes: u32,
    /// Connections to it that broke under a request since its last answer.
    pub breaks: u32,
    pub ejected: Micros,
    pub slow_start: Bucket,
}

fn groups(m: &EndpointEntry) -> [(bool, u32, EndpointId); 2] {
    [(false, m.zone, m.id), (true, m.cell, m.id)]
}

#[derive(Default)]
pub(in crate::decision) struct Roster {
    slots: Vec<Server>,
    free: Vec<usize>,
    /// The slots of listed servers in the order of their ids, the same at all nodes; and of the others.
    pub ring: Vec<(EndpointId, usize)>,
    pub off: BTreeMap<EndpointId, usize>,
    /// Those that share their work by zone or by cell, if any class asks for it.
    groups: BTreeSet<(bool, u32, EndpointId)>,
    grouped: [bool; 2],
    /// Those with something out or a rate of answers.
    met: BTreeMap<EndpointId, usize>,
    /// How many attempts are out.
    pub in_flight: usize,
    pub looked: Cell<u64>,
    pub touched: u64,
}

impl Roster {
    pub fn new(classes: &[RequestClass]) -> Self {
        let keyed = |group| {
            classes.iter().any(|c| c.idempotency == Idempotency::Keyed && c.deduplication_scope == group)
        };
        Roster {
            grouped: [keyed(DeduplicationScope::Zone), keyed(DeduplicationScope::Cell)],
            ..Roster::default()
        }
    }

    /// The listed server at this place; the ring goes round.
    pub fn at(&self, place: usize) -> &Server {
        self.looked.set(self.looked.get() + 1);
        &self.slots[self.ring[place % self.ring.len()].1]
    }

    pub fn met(&self) -> impl Iterator<Item = &Server> {
        self.looked.set(self.looked.get() + self.met.len() as u64);
        self.met.values().map(|&slot| &self.slots[slot])
    }

    /// The places of a zone's or a cell's listed servers.
    pub fn group(&self, cell: bool, number: u32) -> impl Iterator<Item = usize> + '_ {
        let all = (cell, number, EndpointId(0))..=(cell, number, EndpointId(u64::MAX));
        self.groups.range(all).filter_map(|e| self.ring.binary_search_by_key(&e.2, |e| e.0).ok())
    }

    fn slot(&self, id: EndpointId) -> Option<usize> {
        let place = self.ring.binary_search_by_key(&id, |e| e.0);
        place.map_or_else(|_| self.off.get(&id).copied(), |place| Some(self.ring[place].1))
    }

    pub fn get(&self, id: EndpointId) -> Option<&Server> {
        self.slot(id).map(|slot| &self.slots[slot])
    }

    pub fn get_mut(&mut self, id: EndpointId) -> Option<&mut Server> {
        self.slot(id).map(|slot| &mut self.slots[slot])
    }

    pub fn sent(&mut self, id: EndpointId, now: Micros) -> Option<&mut Server> {
        let slot = self.slot(id)?;
        self.met.insert(id, slot);
        self.in_flight += 1;
        self.slots[slot].in_flight.push_back(now);
        self.slots.get_mut(slot)
    }

    pub fn ended(&mut self, id: EndpointId, sent: Micros) -> Option<&mut Server> {
        let slot = self.slot(id)?;
        let nth = self.slots[slot].in_flight.iter().position(|&t| t == sent)?;
        self.in_flight -= 1;
        self.slots[slot].in_flight.remove(nth);
        self.slots.get_mut(slot)
    }

    /// Takes list entries in one pass in the order of ids, each with the bucket of a new or restarted server.
    /// What is as it was is left alone. What a whole list does not name has gone.
    pub fn take(
        &mut self,
        whole: bool,
        mut entries: Vec<(EndpointEntry, Bucket)>,
        (now, latency): (Micros, f64),
    ) {
        // An id that comes twice stays in its order: the later entry counts.
        entries.sort_by_key(|(m, _)| m.id);
        if whole {
            let known = self.ring.iter().map(|e| &e.1).chain(self.off.values()).map(|&k| &self.slots[k]);
            let named = |s: &&Server| entries.binary_search_by_key(&s.told.id, |e| e.0.id).is_ok();
            let gone = |s: &Server| {
                (EndpointEntry { state: EndpointState::Removed, ..s.told.clone() }, s.slow_start)
            };
            let gone: Vec<_> = known.filter(|s| !named(s)).map(gone).collect();
            entries.extend(gone);
            entries.sort_by_key(|(m, _)| m.id);
        }
        let first = entries.first().map_or(EndpointId(u64::MAX), |(m, _)| m.id);
        let old = self.ring.split_off(self.ring.partition_point(|e| e.0 < first));
        let mut old = &old[..];
        for (mut m, slow_start) in entries {
            let (before, after) = old.split_at(old.iter().take_while(|e| e.0 <= m.id).count());
            self.ring.extend_from_slice(before);
            old = after;
            let listed = self.ring.last().is_some_and(|e| e.0 == m.id);
            let known = if listed { self.ring.pop().map(|e| e.1) } else { self.off.remove(&m.id) };
            let slot = known.or_else(|| self.free.pop()).unwrap_or(self.slots.len());
            self.slots.resize_with(self.slots.len().max(slot + 1), Server::default);
            let s = &mut self.slots[slot];
            if known.is_none() {
                *s = Server { told: m.clone(), latency, heard: now, slow_start, ..Server::default() };
            }
            m.weight = if m.weight.is_finite() && m.weight > 0.0 { m.weight } else { 1.0 };
            if m.started_at > s.told.started_at {
                (s.strikes, s.breaks, s.ejected, s.slow_start, s.latency) = (0, 0, 0, slow_start, latency);
            }
            m.started_at = m.started_at.max(s.told.started_at);
            let told = |m: &EndpointEntry| (m.zone, m.cell, m.weight, m.state, m.started_at);
            if known.is_none() || told(&m) != told(&s.told) {
                self.touched += 1;
                let old = groups(&std::mem::replace(&mut s.told, m));
                let moved = known.is_none() || old != groups(&s.told);
                old.iter().filter(|_| moved).for_each(|group| _ = self.groups.remove(group));
                let asked = |group: &(bool, u32, EndpointId)| moved && self.grouped[usize::from(group.0)];
                self.groups.extend(groups(&s.told).into_iter().filter(asked));
            }
            if s.told.state == EndpointState::Active {
                self.ring.push((s.told.id, slot));
            } else {
                self.off.insert(s.told.id, slot);
            }
        }
        self.ring.extend_from_slice(old);
    }

    /// Danger: app servers are ever new, and what is kept of each grows without end. One goes once it is
    /// removed and nothing is out there. An old rate of answers is lost in rounding when all are added up.
    pub fn forget(&mut self, now: Micros) {
        let goes = |s: &Server| s.told.state == EndpointState::Removed && s.in_flight.is_empty();
        let gone: Vec<_> = self.off.values().copied().filter(|&slot| goes(&self.slots[slot])).collect();
        for slot in gone {
            let s = std::mem::take(&mut self.slots[slot]);
            groups(&s.told).iter().for_each(|group| _ = self.groups.remove(group));
            self.off.remove(&s.told.id);
            self.met.remove(&s.told.id);
            self.free.push(slot);
        }
        let (many, slots) = (self.met.len() > LOOKS, &self.slots);
        let counts = |s: &Server| !s.in_flight.is_empty() || s.done.get(now, DONE_SPAN) > 1e-20;
        self.met.retain(|_, slot| !many || counts(&slots[*slot]));
    }
}
