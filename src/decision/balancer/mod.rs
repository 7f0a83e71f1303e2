//! Choice of a server for an attempt: the subset, health, cold starts.

pub(super) mod endpoint_table;

use super::*;

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

impl DecisionEngine {
    pub(super) fn on_members(
        &mut self,
        kind: EndpointUpdateKind,
        entries: Vec<EndpointEntry>,
        out: &mut Vec<Action>,
    ) {
        if kind == EndpointUpdateKind::StaleSnapshot
            || (kind == EndpointUpdateKind::WatchLost && self.set.polls_endpoint_list)
        {
            // Danger: an old list after a restart names dead servers and hides cold ones. Ask anew.
            out.push(if self.set.polls_endpoint_list {
                Action::WatchEndpoints
            } else {
                Action::FetchEndpoints
            });
        }
        if kind == EndpointUpdateKind::WatchLost {
            return;
        }
        // Danger: a whole request for free at each of a hundred nodes pushes a cold server over at once.
        let mut slow_start = || Bucket { store: uniform(&mut self.random), at: self.virtual_time };
        let entries = entries.into_iter().map(|m| (m, slow_start())).collect();
        self.servers.take(kind != EndpointUpdateKind::Delta, entries, (self.now, self.latency));
        self.forget();
    }

    /// The share of its capacity that a server surely has by now.
    fn warmth(&self, s: &Server) -> f64 {
        let rules = &self.set.warm_up;
        if s.told.started_at == 0 || rules.duration == 0 {
            return 1.0;
        }
        let age = self.now.saturating_sub(s.told.started_at) as f64 / rules.duration as f64;
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
    pub(super) fn silent(&self, s: &Server) -> bool {
        let Some(&oldest) = s.in_flight.iter().find(|&&sent| sent >= s.ejected) else { return false };
        let since = self.now.saturating_sub(oldest.max(s.heard)) as f64;
        since > self.latency_bound() * if s.in_flight.len() > 2 { 1.0 } else { 2.0 }
    }

    /// The server where an attempt should do best, if any may take it, and how warm that is.
    /// A node sends to a part of the servers: deterministic subsetting. Danger: at a hundred nodes each would
    /// meet every server so seldom that it pays for a handshake each time and learns of each only by being
    /// harmed. The ids, in the same order at all nodes, are shared out by the nodes' numbers, so that each
    /// server is in as many subsets as any other. The next ones stand in for those that are ejected.
    pub(super) fn choose(&mut self, id: &RequestId, not: Option<EndpointId>) -> Option<(EndpointId, f64)> {
        let r = self.requests.get(id)?;
        let class = &self.set.classes[r.ask.class];
        let (safe, by_cell) =
            (class.idempotency == Idempotency::Safe, class.deduplication_scope == DeduplicationScope::Cell);
        let ran = r.ran.filter(|_| {
            class.idempotency == Idempotency::Keyed && class.deduplication_scope != DeduplicationScope::All
        });
        let bound = ran.map(|a| if by_cell { a.place.1 } else { a.place.0 });
        let (listed, nodes) = (self.servers.ring.len(), self.set.node_count.max(1) as usize);
        let most = (listed * COVER).div_ceil(nodes).max(SUBSET_LEAST);
        let first = self.set.node_index as usize * listed / nodes % listed.max(1);
        let round = (first..first + listed).map(|place| self.servers.at(place)).enumerate();
        let subset = round.filter(|(_, s)| s.ejected <= self.now).take(most);
        let (reach, warm) = subset.fold((0, 0.0), |(_, warm), (n, s)| (n + 1, warm + self.warmth(s)));
        let inside = |place: usize| (place + listed - first) % listed < reach;
        self.subset_warmth = warm;
        // Danger: a node with next to nothing out would always take the largest server. The less its own
        // counts tell, the more the lot decides: exponential, so that servers are drawn by their size.
        let blind = 1.0 / (1.0 + SEEN * self.servers.in_flight as f64 / listed.max(1) as f64);
        let now = self.now;
        let common = |kind| (kind, self.tally.get(&kind).map_or(0.0, |t| t.mean(now, 0.0, TALLY_SPAN)));
        let kinds = [r.ask.class, self.set.classes.len() + r.ask.plan, LOST].map(common);
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
                let from = reach + (uniform(&mut self.random) * step as f64) as usize;
                looks = match bound {
                    Some(group) => self.servers.group(by_cell, group).filter(|&k| !inside(k)).collect(),
                    None => (from..listed).step_by(step).map(|k| first + k).collect(),
                };
                continue;
            };
            let s = self.servers.at(place);
            let group = if by_cell { s.told.cell } else { s.told.zone };
            if bound.is_some_and(|bound| bound != group) || Some(s.told.id) == not {
                continue;
            }
            let warmth = self.warmth(s);
            // Danger: a cold server pushed over. This node's 1/n part of the guaranteed share, counted in
            // what a warm one was due meanwhile (smoothed, a rise counts for a time before it), is all it
            // gets. By cost it always loses to the best, and the warm ones drown: it goes first once due.
            let turns = self.virtual_time.saturating_sub(s.slow_start.at) as f64 / 1e6;
            if warmth < 1.0 && s.slow_start.store + warmth * turns < 1.0 {
                continue;
            }
            let near = s.ejected <= self.now && inside(place);
            let due = near && warmth < 1.0 && s.strikes == 0;
            let closed = s.ejected > self.now || self.silent(s);
            if !closed && s.strikes > 0 && (!safe || s.in_flight.back().is_some_and(|&at| at >= s.ejected)) {
                continue;
            }
            let load = s.in_flight.iter().filter(|&&sent| sent >= s.ejected).count() as f64;
            let slowness = (s.latency / self.latency).clamp(0.25, 4.0);
            let lot = -(1.0 - uniform(&mut self.random)).ln();
            let cost = slowness * (load + 1.0 - blind + blind * lot) / (s.told.weight * warmth.max(0.05));
            let far = if s.told.zone == self.set.zone { 1.0 } else { 1.0 + 2.0 * self.set.cross_zone_cost };
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
        best.map(|(_, to)| to)
    }

    pub(super) fn eject(&mut self, key: EndpointId) {
        let Some(s) = self.servers.get_mut(key).filter(|s| s.ejected <= self.now) else { return };
        s.ejected = self.now + (EJECT << s.strikes.min(8)).min(EJECT_MAX);
        s.strikes += 1;
    }
}
