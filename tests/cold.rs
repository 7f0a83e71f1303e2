//! Cold app servers under the sum of what twenty to thirty nodes send: that many decision modules before one
//! model of the app servers, on given time and fixed seeds.

mod common;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use common::{member, open, MS, SECOND};
use edge_node::decision::DecisionEngine;
use edge_node::decision::*;
use fastrand::Rng;

/// Requests of mean work that a warm app server serves a second.
const CAPACITY: f64 = 16.0;
/// When the cold ones start, and the end.
const START: Micros = 110 * SECOND;
const END: Micros = 130 * SECOND;

/// A day: nodes, app servers that stay, some that start cold, and what is asked for, as a share of what the warm
/// ones can do at first.
struct Day {
    nodes: u32,
    warm: u32,
    cold: u32,
    before: f64,
    burst: f64,
    /// How long after their start it begins.
    burst_after: Micros,
    /// Seven in ten nodes are killed so long after that start, and are back after the second span; meanwhile the
    /// others get what comes for them.
    killed: Option<(Micros, Micros)>,
    rules: WarmUp,
}

impl Day {
    /// How many nodes go on through the kill.
    fn survivors(&self) -> usize {
        (self.nodes as usize * 3).div_ceil(10)
    }

    fn down(&self, node: usize, now: Micros) -> bool {
        let within = |(from, span): (Micros, Micros)| (START + from..START + from + span).contains(&now);
        node >= self.survivors() && self.killed.is_some_and(within)
    }
}

enum What {
    Ask {
        node: usize,
    },
    /// For the process that was the node's `life`-th.
    Event {
        node: usize,
        life: u32,
        event: Event,
    },
    /// A killed node is back, with nothing but its list.
    Back {
        node: usize,
    },
}

/// What is to happen, in order; what comes at one moment in the order in which it was said.
#[derive(Default)]
struct Agenda {
    order: BinaryHeap<Reverse<(Micros, u64)>>,
    what: BTreeMap<u64, What>,
    next: u64,
}

impl Agenda {
    fn add(&mut self, at: Micros, what: What) {
        self.order.push(Reverse((at, self.next)));
        self.what.insert(self.next, what);
        self.next += 1;
    }

    fn take(&mut self) -> Option<(Micros, What)> {
        let Reverse((at, number)) = self.order.pop()?;
        self.what.remove(&number).map(|what| (at, what))
    }
}

/// How a cold start went: the fullest window of any cold app server beside what it bears, and how much of all
/// attempts the cold ones got.
struct Told {
    fullest: f64,
    cold_share: f64,
}

fn play(day: &Day, seed: u64) -> Told {
    let set = Settings { node_count: day.nodes, warm_up: day.rules.clone(), ..open() };
    let mut random = Rng::with_seed(seed);
    let node =
        |me| DecisionEngine::new(seed * 1_000 + u64::from(me), Settings { node_index: me, ..set.clone() });
    let mut nodes: Vec<_> = (0..day.nodes).map(node).collect();
    let mut agenda = Agenda::default();
    let all = |started| {
        let start = move |i| if i < day.warm { 0 } else { started };
        let entries = |count: u32| (0..count).map(|i| member(i, EndpointState::Active, start(i))).collect();
        let count = if started > 0 { day.warm + day.cold } else { day.warm };
        Event::EndpointsUpdated { kind: EndpointUpdateKind::Snapshot, entries: entries(count) }
    };
    for node in 0..nodes.len() {
        agenda.add(100 * SECOND, What::Event { node, life: 0, event: all(0) });
        agenda.add(START, What::Event { node, life: 0, event: all(START) });
        agenda.add(100 * SECOND + 1, What::Ask { node });
        if let Some((from, span)) = day.killed.filter(|_| node >= day.survivors()) {
            agenda.add(START + from + span, What::Back { node });
        }
    }
    let mut lives = vec![0; nodes.len()];
    let warmth = |server: u64, at: Micros| {
        let age = at.saturating_sub(START) as f64 / day.rules.duration as f64;
        let cold = server >= u64::from(day.warm);
        if cold {
            (day.rules.initial_fraction + (1.0 - day.rules.initial_fraction) * age).min(1.0)
        } else {
            1.0
        }
    };
    let (mut busy_until, mut came) = (BTreeMap::<u64, Micros>::new(), BTreeMap::<u64, Vec<Micros>>::new());
    let (mut sends, mut due) = (BTreeMap::<RequestId, Vec<Micros>>::new(), BTreeMap::new());
    let mut asked = 0u64;
    while let Some((now, what)) = agenda.take().filter(|&(at, _)| at < END) {
        let (node, event) = match what {
            What::Event { node, life, event } if life == lives[node] && !day.down(node, now) => (node, event),
            What::Event { .. } => continue,
            What::Back { node } => {
                lives[node] += 1;
                let me = node as u32;
                nodes[node] = DecisionEngine::new(
                    seed * 1_000 + 500 + u64::from(me),
                    Settings { node_index: me, ..set.clone() },
                );
                (node, all(START))
            }
            What::Ask { node } => {
                // Drawn at the higher rate and thinned, so that a burst begins at its moment.
                let most = day.before.max(day.burst);
                let share = if now < START + day.burst_after { day.before } else { day.burst };
                let rate = most * CAPACITY * f64::from(day.warm) / f64::from(day.nodes);
                let gap = -(1.0 - random.f64()).ln() / rate * 1e6;
                agenda.add(now + gap.max(1.0) as Micros, What::Ask { node });
                if random.f64() >= share / most {
                    continue;
                }
                asked += 1;
                let id = RequestId::from(asked.to_string().as_str());
                due.insert(id.clone(), now + 2 * SECOND);
                let request = NewRequest {
                    id,
                    account: AccountId(asked),
                    class: 0,
                    plan: 0,
                    units: 1.0,
                    first_account_node: 0,
                    account_node_count: 1,
                    is_retry: false,
                    deadline: now + 2 * SECOND,
                };
                let node = if day.down(node, now) { random.usize(..day.survivors()) } else { node };
                (node, Event::RequestReceived(request))
            }
        };
        let (mut actions, life) = (Vec::new(), lives[node]);
        nodes[node].handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::SetTimer { id, after } => {
                    agenda.add(now + after, What::Event { node, life, event: Event::TimerFired { id } });
                }
                Action::StartAttempt { request: id, endpoint: server, .. } => {
                    came.entry(server.0).or_default().push(now);
                    // One queue each; a request takes its work at the speed of the moment, and a part of it waits.
                    let work = (1e6 / (CAPACITY * warmth(server.0, now))) as Micros;
                    let free = busy_until.entry(server.0).or_default();
                    let done = (*free).max(now) + work;
                    let limit = due[&id] - 25 * MS;
                    let outcome = if done + 60 * MS < limit { Outcome::Ok } else { Outcome::TimedOut };
                    if done < limit {
                        *free = done;
                    }
                    let end = (done + 60 * MS).min(limit.max(now + 1));
                    let attempts = sends.entry(id.clone()).or_default();
                    attempts.push(now);
                    let attempt = attempts.len() as u32 - 1;
                    let finished = outcome == Outcome::Ok;
                    let spent = end - now;
                    let ended = EndedAttempt {
                        request: id,
                        attempt_number: attempt,
                        endpoint: server,
                        outcome,
                        elapsed: spent,
                        request_completed: finished,
                        final_units: None,
                    };
                    agenda.add(end, What::Event { node, life, event: Event::AttemptEnded(ended) });
                }
                Action::CancelAttempt { request: id, attempt_number: attempt } => {
                    let spent = now - sends[&id][attempt as usize];
                    // The module looks up the app server by the attempt.
                    let server = EndpointId::default();
                    let outcome = Outcome::Cancelled;
                    let ended = EndedAttempt {
                        request: id,
                        attempt_number: attempt,
                        endpoint: server,
                        outcome,
                        elapsed: spent,
                        request_completed: false,
                        final_units: None,
                    };
                    agenda.add(now, What::Event { node, life, event: Event::AttemptEnded(ended) });
                }
                _ => {}
            }
        }
    }
    let cold = |server: &u64| *server >= u64::from(day.warm);
    let mut fullest = 0.0f64;
    for (&server, times) in came.iter().filter(|(server, _)| cold(server)) {
        for (last, &at) in times.iter().enumerate() {
            let from = at.saturating_sub(day.rules.overload_duration).max(START);
            let share = warmth(server, from);
            if share >= 1.0 {
                break;
            }
            let count = times[..=last].iter().filter(|&&t| t >= from).count() as f64;
            let bears =
                day.rules.overload_multiple * share * CAPACITY * day.rules.overload_duration as f64 / 1e6;
            fullest = fullest.max(count / (bears + 2.0 * bears.sqrt() + 2.0));
        }
    }
    let later = |times: &Vec<Micros>| times.iter().filter(|&&t| t >= START).count() as f64;
    let sum = |of: &dyn Fn(&u64) -> bool| -> f64 {
        came.iter().filter(|(s, _)| of(s)).map(|(_, t)| later(t)).sum()
    };
    Told { fullest, cold_share: sum(&cold) / sum(&|_| true).max(1.0) }
}

fn days(rules: &WarmUp) -> [Day; 5] {
    let day = |nodes, warm, cold, before, burst, burst_after| Day {
        nodes,
        warm,
        cold,
        before,
        burst,
        burst_after,
        killed: None,
        rules: rules.clone(),
    };
    [
        // A few come back under a burst.
        day(25, 10, 3, 0.6, 0.9, 0),
        // More join than stay.
        day(20, 5, 8, 0.6, 0.9, SECOND),
        // Hardly anything is asked for, until all comes at once.
        day(30, 8, 4, 0.02, 1.2, 8 * SECOND),
        // Far more than the warm ones can do.
        day(30, 4, 8, 0.9, 2.0, 0),
        // Most nodes are killed and come back, while the others still send for them.
        Day { killed: Some((SECOND, 2 * SECOND)), ..day(28, 12, 6, 1.0, 1.4, 0) },
    ]
}

/// That the cold ones bear what they get, and that they get some of it.
fn assert_borne(rules: &WarmUp) {
    for (number, day) in days(rules).iter().enumerate() {
        for seed in 1..=3 {
            let told = play(day, seed);
            assert!(told.fullest <= 1.0, "day {number}, seed {seed}: {:.2} of what it bears", told.fullest);
            assert!(
                told.cold_share > 0.02,
                "day {number}, seed {seed}: {:.3} to the cold ones",
                told.cold_share
            );
        }
    }
}

#[test]
fn twenty_to_thirty_nodes_together_push_no_cold_server_over_and_yet_use_it() {
    assert_borne(&WarmUp {
        initial_fraction: 0.21,
        duration: 12 * SECOND,
        overload_multiple: 4.0,
        overload_duration: 3 * SECOND,
    });
}

#[test]
fn nor_where_it_bears_less_and_for_a_shorter_time() {
    assert_borne(&WarmUp {
        initial_fraction: 0.2,
        duration: 15 * SECOND,
        overload_multiple: 2.5,
        overload_duration: 1_500 * MS,
    });
}

#[test]
fn nor_where_it_falls_at_half_as_much_again_as_it_can_do() {
    assert_borne(&WarmUp {
        initial_fraction: 0.2,
        duration: 15 * SECOND,
        overload_multiple: 1.5,
        overload_duration: SECOND,
    });
}
