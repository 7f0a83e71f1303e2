//! The choice of servers at any size: the same as a plain scan of the whole list makes it, with work that does
//! not grow with the fleet.

mod common;
mod oracle;
use common::*;
use edge_node::decision::DecisionEngine;
use edge_node::decision::*;
use oracle::Oracle;
use std::collections::{BTreeMap, BTreeSet};

/// Open settings of one node of so many, with a class whose repeats are bound to a zone.
fn node_of(me: u32, nodes: u32) -> Settings {
    let mut set = Settings { node_index: me, node_count: nodes, zone: 1, cross_zone_cost: 0.2, ..open() };
    set.classes
        .push(RequestClass { deduplication_scope: DeduplicationScope::Zone, ..class(Idempotency::Keyed) });
    set
}

/// The ids are spread over their whole range; zones and cells lie across the ring.
fn entry(number: u64, state: EndpointState, started: Micros) -> EndpointEntry {
    let server = EndpointId(number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 1);
    let (zone, cell) = ((number % 5) as u32, (number % 97) as u32);
    EndpointEntry {
        id: server,
        zone,
        cell,
        state,
        started_at: started,
        weight: 1.0 + (number % 3) as f64,
        ..EndpointEntry::default()
    }
}

fn whole(servers: impl Iterator<Item = u64>) -> Event {
    Event::EndpointsUpdated {
        kind: EndpointUpdateKind::Snapshot,
        entries: servers.map(|n| entry(n, EndpointState::Active, 0)).collect(),
    }
}

fn change(entries: Vec<EndpointEntry>) -> Event {
    Event::EndpointsUpdated { kind: EndpointUpdateKind::Delta, entries }
}

/// A node and the oracle that follows it through seeded events.
struct Pair {
    node: Node,
    oracle: Oracle,
    random: fastrand::Rng,
    /// The numbers of the servers that are listed.
    servers: Vec<u64>,
    flying: Vec<(RequestId, u32, EndpointId, Micros)>,
    tries: BTreeMap<RequestId, u32>,
}

impl Pair {
    fn new(seed: u64, servers: u64, set: Settings) -> Pair {
        let mut node = Node::new(set.clone(), 0);
        node.node = DecisionEngine::new(seed, set.clone());
        let (random, servers) = (fastrand::Rng::with_seed(seed), (0..servers).collect::<Vec<_>>());
        let (flying, tries) = (Vec::new(), BTreeMap::new());
        let mut pair = Pair { node, oracle: Oracle::new(seed, set), random, servers, flying, tries };
        pair.event(whole(pair.servers.clone().into_iter()));
        pair
    }

    fn event(&mut self, event: Event) {
        let actions = self.node.event(event.clone());
        self.oracle.follow(self.node.now, &event, &actions);
        for (id, server) in sent(&actions) {
            let attempt = self.tries.entry(id.clone()).or_default();
            self.flying.push((id, *attempt, server, self.node.now));
            *attempt += 1;
        }
    }

    fn ask(&mut self) {
        let id = format!("r{}", self.random.u64(..)).as_str().into();
        let (class, now) = (self.random.usize(..4), self.node.now);
        self.event(Event::RequestReceived(NewRequest {
            id,
            account: AccountId(1),
            class,
            plan: 0,
            units: 1.0,
            first_account_node: 0,
            account_node_count: 1,
            is_retry: false,
            deadline: now + 2 * SECOND,
        }));
    }

    /// One of the attempts out ends; the servers of one zone fail half of what they get while it is ill.
    fn end(&mut self, ill: bool) {
        let (id, attempt, server, sent) = self.flying.swap_remove(self.random.usize(..self.flying.len()));
        let troubles =
            [Outcome::ConnectFailed, Outcome::TimedOut, Outcome::Reset, Outcome::Error, Outcome::Rejected];
        let fails = ill && server.0 % 3 == 0 && self.random.bool() || self.random.u32(..20) == 0;
        let outcome = if fails { troubles[self.random.usize(..5)] } else { Outcome::Ok };
        let (spent, finished) = (self.node.now - sent, outcome == Outcome::Ok);
        let end = EndedAttempt {
            request: id,
            attempt_number: attempt,
            endpoint: server,
            outcome,
            elapsed: spent,
            request_completed: finished,
            final_units: None,
        };
        self.event(Event::AttemptEnded(end));
    }

    /// A restart, a drain, a return, a removal, a new server or one that nobody knows.
    fn change(&mut self) {
        let (now, number) = (self.node.now, self.servers[self.random.usize(..self.servers.len())]);
        let member = match self.random.u32(..6) {
            0 => entry(number, EndpointState::Active, now - self.random.u64(..SECOND)),
            1 => entry(number, EndpointState::Draining, 0),
            2 => entry(number, EndpointState::Active, 0),
            3 => {
                self.servers.retain(|&n| n != number);
                entry(number, EndpointState::Removed, 0)
            }
            4 => {
                self.servers.push(1 << 40 | now);
                entry(1 << 40 | now, EndpointState::Active, now)
            }
            _ => entry(1 << 50 | now, EndpointState::Removed, 0),
        };
        self.event(change(vec![member]));
    }

    /// The servers next to each other from this node's place on fall and start cold.
    fn fall(&mut self, set: &Settings, many: usize) {
        let mut all: Vec<_> =
            self.servers.iter().map(|&n| entry(n, EndpointState::Active, self.node.now)).collect();
        all.sort_by_key(|m| m.id);
        let first = set.node_index as usize * all.len() / set.node_count as usize;
        all.rotate_left(first);
        all.truncate(many);
        self.event(change(all));
    }
}

/// Seeded events at a fleet of this size; gives what the oracle found right.
fn follow(seed: u64, servers: u64, nodes: u32, events: u32) -> (u32, u32, u32) {
    let set = node_of(nodes / 2, nodes);
    let mut pair = Pair::new(seed, servers, set.clone());
    let mut tick = pair.node.now;
    for n in 0..events {
        pair.node.now += pair.random.u64(..10 * MS);
        while tick <= pair.node.now {
            tick += 20 * MS;
            pair.event(Event::TimerFired { id: 0 });
        }
        match pair.random.u32(..100) {
            _ if n == events / 2 => pair.fall(&set, servers as usize / 4),
            _ if n % 400 == 399 => {
                // A whole list that lacks a few, in another order.
                let mut numbers = pair.servers.clone();
                pair.random.shuffle(&mut numbers);
                numbers.truncate(numbers.len() - numbers.len() / 50);
                pair.servers = numbers.clone();
                pair.event(whole(numbers.into_iter()));
            }
            0..3 => pair.change(),
            3..52 => pair.ask(),
            _ if !pair.flying.is_empty() => pair.end(n % 300 > 150),
            _ => {}
        }
    }
    pair.oracle.right
}

#[test]
fn choices_are_those_of_a_plain_scan_where_the_subset_is_the_whole_list() {
    for seed in 0..4 {
        let (right, _, repeats) = follow(seed, 24, 3, 1_500);
        assert!(right > 300 && repeats > 5, "{right} attempts, {repeats} of them repeats that are bound");
    }
}

#[test]
fn choices_are_those_of_a_plain_scan_at_the_sizes_of_today() {
    for seed in 0..4 {
        let (right, others, repeats) = follow(seed, 200, 300, 1_500);
        assert!(right > 300 && others > 5 && repeats > 5, "{right}, {others} elsewhere, {repeats} bound");
    }
}

#[test]
fn choices_are_those_of_a_plain_scan_at_sizes_to_come() {
    for (seed, servers, nodes, events) in [(1, 600, 300, 1_600), (2, 4_600, 570, 300), (3, 46_000, 5_700, 90)]
    {
        let (right, others, repeats) = follow(seed, servers, nodes, events);
        let least = if servers > 1_000 { (20, 5, 0) } else { (200, 20, 5) };
        assert!(right >= least.0 && others >= least.1 && repeats >= least.2, "{right}, {others}, {repeats}");
    }
}

/// One of so many nodes before so many servers in steady traffic; its most work for an attempt and for a tick,
/// and its work for a change and for a whole list that differs in three servers.
fn work(servers: u64, nodes: u32) -> [u64; 4] {
    let mut n = Node::new(node_of(nodes / 2, nodes), 0);
    n.event(whole(0..servers));
    let (mut asks, mut ticks, mut flying) = (0, 0, std::collections::VecDeque::new());
    for k in 0..600 {
        n.wait(8 * MS);
        let before = n.node.work().0;
        flying.push_back(send_one(&mut n, 0));
        asks = asks.max(n.node.work().0 - before);
        if flying.len() > 6 {
            let (id, server) = flying.pop_front().expect("one is out");
            n.end(&id, 0, server, Outcome::Ok);
        }
        if k % 3 == 0 {
            let before = n.node.work().0;
            n.tick();
            ticks = ticks.max(n.node.work().0 - before);
        }
    }
    let before = n.node.work().1;
    n.event(change(vec![entry(5, EndpointState::Active, n.now), entry(6, EndpointState::Active, 0)]));
    let changed = n.node.work().1 - before;
    // One restarted earlier is told as it is, one has gone, one is new, and one drains.
    let mut entries: Vec<_> = (0..servers).map(|k| entry(k, EndpointState::Active, 0)).collect();
    (entries[5].started_at, entries[7].state) = (n.now, EndpointState::Draining);
    entries[9] = entry(servers + 1, EndpointState::Active, 0);
    let before = n.node.work().1;
    n.event(Event::EndpointsUpdated { kind: EndpointUpdateKind::Snapshot, entries });
    [asks, ticks, changed, n.node.work().1 - before]
}

#[test]
fn work_grows_with_the_subset_and_not_with_the_fleet() {
    for (servers, nodes) in [(200_u64, 300), (4_600, 570), (46_000, 5_700)] {
        let subset = (servers * 24).div_ceil(u64::from(nodes)).max(12);
        let [ask, tick, changed, differs] = work(servers, nodes);
        // A decision sums up the warmth of the subset, looks at it or at a list of up to 256, and asks at most
        // twice how fast those met answer.
        let met = subset.max(16);
        assert!(ask <= subset + subset.max(256) + 2 * met, "{ask} looks for an attempt, {servers} servers");
        assert!(tick <= 2 * met, "{tick} looks for a tick, {servers} servers");
        assert_eq!((changed, differs), (1, 3), "entries touched, {servers} servers");
    }
}

/// The servers that a node sends to now.
fn used(n: &mut Node) -> BTreeSet<EndpointId> {
    let used = (0..60).map(|_| {
        n.wait(100 * MS);
        let (id, server) = send_one(n, 0);
        n.end(&id, 0, server, Outcome::Ok);
        server
    });
    used.collect()
}

#[test]
fn a_list_that_replaces_everything_leaves_nothing_behind() {
    let mut n = Node::new(node_of(0, 300), 0);
    n.event(whole(0..1_000));
    let (id, old) = send_one(&mut n, 0);
    n.event(whole(1_000..2_000));
    let new: BTreeSet<_> = (1_000..2_000).map(|k| entry(k, EndpointState::Active, 0).id).collect();
    assert!(used(&mut n).is_subset(&new));
    // The one where an attempt is still out is kept until that ends.
    assert_eq!(n.node.kept().1, 1_001);
    n.end(&id, 0, old, Outcome::Ok);
    n.wait(SECOND);
    n.tick();
    assert_eq!(n.node.kept().1, 1_000);
}

#[test]
fn of_two_entries_for_a_server_the_later_counts() {
    let orders =
        [(EndpointState::Draining, EndpointState::Active), (EndpointState::Active, EndpointState::Draining)];
    for (kind, (first, last)) in [EndpointUpdateKind::Snapshot, EndpointUpdateKind::Delta]
        .into_iter()
        .flat_map(|k| orders.map(|o| (k, o)))
    {
        let mut n = Node::new(node_of(0, 1), 0);
        n.event(whole(0..3));
        let entries = [(2, first), (0, EndpointState::Active), (1, EndpointState::Active), (2, last)];
        let entries = entries.map(|(k, state)| entry(k, state, 0)).to_vec();
        n.event(Event::EndpointsUpdated { kind, entries });
        let twice = entry(2, EndpointState::Active, 0).id;
        assert_eq!(used(&mut n).contains(&twice), last == EndpointState::Active, "{kind:?}, {last:?}");
        assert_eq!(n.node.kept().1, 3);
    }
}

#[test]
fn a_change_for_an_unknown_server_lists_it_or_does_nothing() {
    let mut n = Node::new(node_of(0, 1), 0);
    n.event(whole(0..2));
    n.event(change(vec![entry(8, EndpointState::Removed, 0), entry(9, EndpointState::Draining, 0)]));
    assert_eq!((n.node.kept().1, used(&mut n).len()), (3, 2), "the one that has gone is not kept");
    n.event(change(vec![entry(7, EndpointState::Active, 0)]));
    assert_eq!((n.node.kept().1, used(&mut n).len()), (4, 3));
}

/// Of so many nodes those that `up` names: by server how many of them send to it.
fn met_by(nodes: u32, servers: u64, up: impl Fn(u32) -> bool) -> Vec<u32> {
    let mut met: BTreeMap<_, u32> =
        (0..servers).map(|k| (entry(k, EndpointState::Active, 0).id, 0)).collect();
    for me in (0..nodes).filter(|&me| up(me)) {
        let mut n = Node::new(Settings { node_index: me, node_count: nodes, ..open() }, 0);
        // One size for all: each is drawn alike, and none of a subset is left out in so many tries.
        let alike = |k| EndpointEntry { weight: 1.0, ..entry(k, EndpointState::Active, 0) };
        n.event(Event::EndpointsUpdated {
            kind: EndpointUpdateKind::Snapshot,
            entries: (0..servers).map(alike).collect(),
        });
        let mut mine = BTreeSet::new();
        for _ in 0..10 {
            mine.extend(used(&mut n));
        }
        mine.iter().for_each(|server| *met.entry(*server).or_default() += 1);
    }
    met.into_values().collect()
}

#[test]
fn each_server_is_in_as_many_subsets_as_any_other_until_nodes_are_down() {
    let (nodes, servers) = (60, 90);
    let all = met_by(nodes, servers, |_| true);
    assert_eq!(all, vec![24; servers as usize], "90 servers, 36 in each of 60 subsets");
    // A tenth down here and there takes from a server two or three of its 24 nodes.
    let some = met_by(nodes, servers, |me| me % 10 != 3);
    assert!(some.iter().all(|&met| (21..=22).contains(&met)), "{some:?}");
    // It does not hold for a tenth next to each other: six of 24. Nobody moves up for a node that is down.
    let rack = met_by(nodes, servers, |me| !(20..26).contains(&me));
    assert_eq!((rack.iter().min(), rack.iter().max()), (Some(&18), Some(&24)), "{rack:?}");
}
