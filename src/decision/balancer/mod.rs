//! Choice of an endpoint for an attempt: the subset, health, cold starts.

pub(super) mod endpoint_table;

use std::collections::{BTreeMap, VecDeque};

use super::estimators::{uniform, Bucket, Tally};
use super::load_shedding::DONE_SPAN;
use super::{DeduplicationScope, EndpointEntry, EndpointId, Idempotency, Micros, Outcome, Settings};
use endpoint_table::{Roster, Server, LOOKS};

/// First ejection of a suspect server; doubles up to the last.
const EJECT: Micros = 400_000;
const EJECT_MAX: Micros = 6_400_000;
/// A cold server no slower than the fleet gets this much over its sure share; at most half the fall multiple.
const COLD_PACE: f64 = 1.5;
/// How many nodes share a server at least: enough that their loads even out. And how many servers a node uses
/// at least: enough that some are left when a third is lost.
const COVER: usize = 24;
const SUBSET_LEAST: usize = 12;
/// How soon own counts outweigh the lot, in attempts out at each server.
const SEEN: f64 = 60.0;
/// How long failures by kind are remembered, and how much a sure failure adds to a server's cost.
pub(super) const TALLY_SPAN: f64 = 15.0e6;
const FAIL_COST: f64 = 10.0;
/// The kind under which attempts are tallied that got no answer in time, whatever their class and plan.
pub(super) const LOST: usize = usize::MAX;

/// Weight of a new latency sample in the EWMAs, and the latency assumed before the first answer.
const LATENCY_GAIN: f64 = 0.1;
const LATENCY_START: f64 = 100_000.0;
/// Breaks in a row eject a server when so many would come by chance, at the fleet's own share of breaks, less
/// often than this; so many always do.
const BREAK_CHANCE: f64 = 0.01;
const BREAKS_MOST: u32 = 3;

/// Where an endpoint stands: what is kept of it once it may be gone.
#[derive(Clone, Copy)]
pub(super) struct Placement {
    pub zone: u32,
    pub cell: u32,
}

/// What an endpoint is wanted for.
pub(super) struct SelectionRequest {
    pub class: usize,
    pub plan: usize,
    /// Where the first attempt that may have run went, if there was one.
    pub first_possible_run: Option<Placement>,
    /// An endpoint that is not to be chosen.
    pub exclude: Option<EndpointId>,
}

/// The endpoint that was chosen.
#[derive(Clone, Copy)]
pub(super) struct Selection {
    pub endpoint: EndpointId,
    pub warm_fraction: f64,
}

/// An attempt that ended at an endpoint.
pub(super) struct AttemptResult {
    pub endpoint: EndpointId,
    pub class: usize,
    pub plan: usize,
    pub sent_at: Micros,
    pub outcome: Outcome,
    pub elapsed: Micros,
}

/// What an ended attempt tells the load shedder.
pub(super) struct RecordedAttempt {
    /// The response time, if the endpoint is about as fast as the others.
    pub typical_response_time: Option<Micros>,
}

/// The endpoints, their health and load, and the choice among them.
#[derive(Default)]
pub(super) struct Balancer {
    pub servers: Roster,
    pub latency: f64,
    deviation: f64,
    /// How attempts ended over the fleet, by kind.
    tally: BTreeMap<usize, Tally>,
    /// The share of answers and breaks over the fleet that are breaks.
    breaks: Tally,
    /// What a warm server of the subset was due here so far, in millionths of a request; the subset's warmth.
    virtual_time: Micros,
    subset_warmth: f64,
}

impl Balancer {
    /// A balancer that knows no endpoints yet.
    pub fn new(settings: &Settings) -> Self {
        Balancer {
            servers: Roster::new(&settings.classes),
            latency: LATENCY_START,
            deviation: LATENCY_START / 2.0,
            ..Balancer::default()
        }
    }

    /// Takes in entries of the endpoint list.
    pub fn update(&mut self, snapshot: bool, entries: Vec<EndpointEntry>, now: Micros, random: &mut u64) {
        // Danger: a whole request for free at each of a hundred nodes pushes a cold server over at once.
        let mut slow_start = || Bucket { store: uniform(random), at: self.virtual_time };
        let entries = entries.into_iter().map(|m| (m, slow_start())).collect();
        self.servers.take(snapshot, entries, (now, self.latency));
    }

    /// A request has been handed to an endpoint, or waits for one.
    pub fn request_launched(&mut self) {
        self.virtual_time += (1e6 / self.subset_warmth.max(1.0)) as Micros;
    }

    /// An attempt begins at the chosen endpoint. None if the endpoint is not known any more.
    pub fn attempt_started(&mut self, selection: Selection, now: Micros) -> Option<Placement> {
        let s = self.servers.sent(selection.endpoint, now)?;
        s.slow_start.refill(self.virtual_time, selection.warm_fraction, 1.5);
        s.slow_start.store -= 1.0;
        Some(Placement { zone: s.told.zone, cell: s.told.cell })
    }

    /// Records how an attempt ended. None if the endpoint is not known any more.
    pub fn attempt_ended(
        &mut self,
        settings: &Settings,
        now: Micros,
        end: &AttemptResult,
    ) -> Option<RecordedAttempt> {
        let bound = self.latency_bound();
        let (server, sent) = (end.endpoint, end.sent_at);
        let mut typical_response_time = None;
        let s = self.servers.ended(server, sent)?;
        // Danger: servers that fail one class, or turn one plan away, and serve the rest. They are passed
        // over for that kind alone, by what else is known of it (outlier ejection by success rate).
        let (ok, bad) =
            (end.outcome == Outcome::Ok, matches!(end.outcome, Outcome::Error | Outcome::Rejected));
        // Danger: servers that lose part of what they take and answer the rest. An answer clears all strikes,
        // and a node that meets each server seldom would learn of each loss anew.
        let unanswered = matches!(end.outcome, Outcome::TimedOut | Outcome::Cancelled);
        let lost = unanswered && s.heard < sent && end.elapsed as f64 > bound;
        let kinds = [(end.class, bad), (settings.classes.len() + end.plan, bad), (LOST, lost)];
        for (kind, failed) in kinds.into_iter().filter(|&(_, failed)| failed || ok) {
            for tally in [&mut s.tally, &mut self.tally] {
                tally.entry(kind).or_default().add(now, f64::from(u8::from(failed)), TALLY_SPAN);
            }
        }
        let quiet = s.heard < sent && sent >= s.ejected;
        // Danger: connections that break at all servers alike (a lossy network, servers that close idle ones
        // early): ejected in turn for one break each, most of a fleet that answers would be out. So a break
        // tells of a server by how rare breaks are, and by no answer since. Where breaks are rare one is
        // enough. It does harm where servers die while many others break: each takes two or three more.
        let common = self.breaks.mean(now, 0.0, TALLY_SPAN);
        let broke = end.outcome == Outcome::Reset;
        if broke || matches!(end.outcome, Outcome::Ok | Outcome::Error | Outcome::Rejected) {
            self.breaks.add(now, if broke { 1.0 } else { 0.0 }, TALLY_SPAN);
            s.breaks = if broke { s.breaks + 1 } else { 0 };
        }
        let dead = s.breaks >= BREAKS_MOST || common.powi(s.breaks as i32) < BREAK_CHANCE;
        match end.outcome {
            Outcome::Ok => {
                let sample = end.elapsed as f64;
                self.deviation += ((sample - self.latency).abs() - self.deviation) * LATENCY_GAIN / 2.0;
                self.latency += (sample - self.latency) * LATENCY_GAIN / 2.0;
                if s.latency < 2.0 * self.latency {
                    typical_response_time = Some(end.elapsed);
                }
                s.latency += (sample - s.latency) * LATENCY_GAIN;
                s.done.add(now, 1.0, DONE_SPAN);
                s.answered = s.answered.max(sent);
                (s.heard, s.strikes, s.ejected) = (now, 0, s.ejected.min(now));
            }
            // Danger: a server that fails fast looks idle and quick. It is alive, and no more.
            Outcome::Error => s.heard = now,
            // What broke has left the server too, and overload is judged by the rate at which requests leave.
            Outcome::Reset if !dead => s.done.add(now, 1.0, DONE_SPAN),
            Outcome::ConnectFailed | Outcome::Reset => self.eject(server, now),
            Outcome::TimedOut | Outcome::Cancelled if quiet => self.eject(server, now),
            _ => {}
        }
        Some(RecordedAttempt { typical_response_time })
    }

    /// Whether an attempt waits too long at an endpoint that answers nobody, or has been ejected.
    pub fn is_stuck(&self, server: EndpointId, sent: Micros, now: Micros) -> bool {
        let silent = self.servers.get(server).is_some_and(|s| self.silent(s, now) || s.ejected > now);
        silent && now.saturating_sub(sent) as f64 > self.latency_bound()
    }

    /// Ejects all endpoints that answer nobody.
    pub fn eject_silent(&mut self, now: Micros) {
        let silent: Vec<_> = self.servers.met().filter(|s| self.silent(s, now)).map(|s| s.told.id).collect();
        silent.into_iter().for_each(|key| self.eject(key, now));
    }

    /// The share of its capacity that a server surely has by now.
    fn warmth(&self, settings: &Settings, s: &Server, now: Micros) -> f64 {
        let rules = &settings.warm_up;
        if s.told.started_at == 0 || rules.duration == 0 {
            return 1.0;
        }
        let age = now.saturating_sub(s.told.started_at) as f64 / rules.duration as f64;
        let (pace, quick) = (COLD_PACE.min(rules.overload_multiple / 2.0).max(1.0), s.latency < self.latency);
        ((if quick { pace } else { 1.0 }) * (rules.initial_fraction + (1.0 - rules.initial_fraction) * age))
            .min(1.0)
    }

    /// An attempt out for longer than this is past what the fleet usually needs.
    pub(super) fn latency_bound(&self) -> f64 {
        self.latency + 4.0 * self.deviation
    }

    /// Silence while others answer, by the oldest attempt out since the last ejection. Danger: what hung
    /// before, and may not be sent again, would keep a server shut long after it has recovered.
    pub(super) fn silent(&self, s: &Server, now: Micros) -> bool {
        let Some(&oldest) = s.in_flight.iter().find(|&&sent| sent >= s.ejected) else { return false };
        let since = now.saturating_sub(oldest.max(s.heard)) as f64;
        since > self.latency_bound() * if s.in_flight.len() > 2 { 1.0 } else { 2.0 }
    }

    /// The server where an attempt should do best, if any may take it, and how warm that is.
    /// A node sends to a part of the servers: deterministic subsetting. Danger: at a hundred nodes each would
    /// meet every server so seldom that it pays for a handshake each time and learns of each only by being
    /// harmed. The ids, in the same order at all nodes, are shared out by the nodes' numbers, so that each
    /// server is in as many subsets as any other. The next ones stand in for those that are ejected.
    pub(super) fn choose(
        &mut self,
        settings: &Settings,
        now: Micros,
        random: &mut u64,
        wanted: &SelectionRequest,
    ) -> Option<Selection> {
        let class = &settings.classes[wanted.class];
        let (safe, by_cell) =
            (class.idempotency == Idempotency::Safe, class.deduplication_scope == DeduplicationScope::Cell);
        let ran = wanted.first_possible_run.filter(|_| {
            class.idempotency == Idempotency::Keyed && class.deduplication_scope != DeduplicationScope::All
        });
        let bound = ran.map(|place| if by_cell { place.cell } else { place.zone });
        let (listed, nodes) = (self.servers.ring.len(), settings.node_count.max(1) as usize);
        let most = (listed * COVER).div_ceil(nodes).max(SUBSET_LEAST);
        let first = settings.node_index as usize * listed / nodes % listed.max(1);
        let round = (first..first + listed).map(|place| self.servers.at(place)).enumerate();
        let subset = round.filter(|(_, s)| s.ejected <= now).take(most);
        let (reach, warm) =
            subset.fold((0, 0.0), |(_, warm), (n, s)| (n + 1, warm + self.warmth(settings, s, now)));
        let inside = |place: usize| (place + listed - first) % listed < reach;
        self.subset_warmth = warm;
        // Danger: a node with next to nothing out would always take the largest server. The less its own
        // counts tell, the more the lot decides: exponential, so that servers are drawn by their size.
        let blind = 1.0 / (1.0 + SEEN * self.servers.in_flight as f64 / listed.max(1) as f64);
        let common = |kind| (kind, self.tally.get(&kind).map_or(0.0, |t| t.mean(now, 0.0, TALLY_SPAN)));
        let kinds = [wanted.class, settings.classes.len() + wanted.plan, LOST].map(common);
        let failing = kinds.iter().any(|k| k.1 > 0.01);
        let mut best: Option<((bool, bool, bool, f64), _)> = None;
        let mut looks = VecDeque::from_iter(if listed <= LOOKS { 0..listed } else { first..first + reach });
        let mut rest = listed - looks.len();
        loop {
            let Some(place) = looks.pop_front() else {
                // Danger: neighbours on the ring fall together. So where nobody in the subset is open, some
                // all round it are looked at; for a repeat that is bound to a group all of that.
                if std::mem::take(&mut rest) == 0 || best.is_some_and(|((closed, ..), _)| !closed) {
                    break;
                }
                let step = (listed - reach).div_ceil(LOOKS);
                let from = reach + (uniform(random) * step as f64) as usize;
                looks = match bound {
                    Some(group) => self.servers.group(by_cell, group).filter(|&k| !inside(k)).collect(),
                    None => (from..listed).step_by(step).map(|k| first + k).collect(),
                };
                continue;
            };
            let s = self.servers.at(place);
            let group = if by_cell { s.told.cell } else { s.told.zone };
            if bound.is_some_and(|bound| bound != group) || Some(s.told.id) == wanted.exclude {
                continue;
            }
            let warmth = self.warmth(settings, s, now);
            // Danger: a cold server pushed over. This node's 1/n part of the guaranteed share, counted in
            // what a warm one was due meanwhile (smoothed, a rise counts for a time before it), is all it
            // gets. By cost it always loses to the best, and the warm ones drown: it goes first once due.
            let turns = self.virtual_time.saturating_sub(s.slow_start.at) as f64 / 1e6;
            if warmth < 1.0 && s.slow_start.store + warmth * turns < 1.0 {
                continue;
            }
            let near = s.ejected <= now && inside(place);
            let due = near && warmth < 1.0 && s.strikes == 0;
            let closed = s.ejected > now || self.silent(s, now);
            if !closed && s.strikes > 0 && (!safe || s.in_flight.back().is_some_and(|&at| at >= s.ejected)) {
                continue;
            }
            let load = s.in_flight.iter().filter(|&&sent| sent >= s.ejected).count() as f64;
            let slowness = (s.latency / self.latency).clamp(0.25, 4.0);
            let lot = -(1.0 - uniform(random)).ln();
            let cost = slowness * (load + 1.0 - blind + blind * lot) / (s.told.weight * warmth.max(0.05));
            let far = if s.told.zone == settings.zone { 1.0 } else { 1.0 + 2.0 * settings.cross_zone_cost };
            let risk = |(kind, prior)| s.tally.get(&kind).map_or(prior, |t| t.mean(now, prior, TALLY_SPAN));
            let [class, plan, lost] = if failing { kinds.map(risk) } else { [0.0; 3] };
            // Where a node always has work out at a server, silence shows by itself.
            let fails = class.max(plan).max(lost * (2.0 * blind).min(1.0));
            let cost = cost * far * (1.0 + FAIL_COST * fails).powi(2);
            let order = (closed, !near, !due, cost);
            if best.is_none_or(|(b, _)| order < b) {
                best = Some((order, (s.told.id, warmth)));
            }
        }
        best.map(|(_, (endpoint, warm_fraction))| Selection { endpoint, warm_fraction })
    }

    pub(super) fn eject(&mut self, key: EndpointId, now: Micros) {
        let Some(s) = self.servers.get_mut(key).filter(|s| s.ejected <= now) else { return };
        s.ejected = now + (EJECT << s.strikes.min(8)).min(EJECT_MAX);
        s.strikes += 1;
    }
}
