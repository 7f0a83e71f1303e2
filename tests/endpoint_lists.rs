//! Lists of app servers as they are read and taken in, up to the longest that is to come.

mod fakes;

use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use edge_node::decision::DecisionEngine;
use edge_node::decision::*;
use edge_node::net::counter::CounterClient;
use edge_node::net::descriptor_budget::DescriptorBudget;
use edge_node::net::discovery::apply::{ApplyOutcome, ListApplier, ReceivedList};
use edge_node::net::discovery::delta::{parts, ENTRIES_PER_PART};
use edge_node::net::discovery::directory::EndpointDirectory;
use edge_node::net::discovery::endpoint_id::endpoint_id;
use edge_node::net::discovery::endpoints::Endpoints;
use edge_node::net::discovery::labels::PlacementLabels;
use edge_node::net::discovery::parser::{EndpointList, MAX_LOGGED_FAULTS};
use edge_node::net::discovery::snapshot::{AppliedList, ListDifference};
use edge_node::net::discovery::{Discovery, WatchSchedule, MAX_LIST_BYTES};
use edge_node::net::event_loop::EventLoop;
use edge_node::net::event_sink::EventSink;
use edge_node::net::upstream::{ForwardedRequest, Upstreams};
use edge_node::protocol::simulator::SettingsDocument;
use fakes::*;
use serde_json::{json, Value};

const SIZES: [usize; 3] = [200, 4_600, 46_000];
const MANY: usize = SIZES[2];
/// Two names of one FNV-1a hash of 32 bits.
const ALIKE: [&str; 2] = ["s-81b30b60", "s-bc2817e4"];

/// A name as the protocol has it.
fn name(number: usize) -> String {
    format!("s-{number:08x}")
}

fn numbered(number: usize, status: &str) -> Value {
    let [_, b, c, d] = (number as u32).to_be_bytes();
    entry(&name(number), ([127, b + 1, c, d], 9).into(), "a", status)
}

fn read(entries: &[Value]) -> EndpointList {
    let text = json!({"index": 2, "snapshot": true, "endpoints": entries}).to_string();
    EndpointList::read(text.as_bytes()).expect("a list")
}

fn places() -> PlacementLabels {
    PlacementLabels::new(vec!["a".into()], vec!["m1".into()])
}

/// What is known after this whole list.
fn whole(known: &Endpoints, entries: &[Value]) -> AppliedList {
    known.with_snapshot(read(entries).entries(), &places())
}

/// What is told of these changes.
fn changes(known: &mut Endpoints, entries: &[Value]) -> (Vec<(EndpointId, EndpointState)>, Vec<EndpointId>) {
    let applied = known.apply_entries(read(entries).entries(), &places());
    (applied.entries.iter().map(|entry| (entry.id, entry.state)).collect(), applied.stale)
}

#[test]
fn a_whole_list_changes_what_differs_and_nothing_else_at_any_size() {
    for size in SIZES {
        let mut entries: Vec<Value> = (0..size).map(|n| numbered(n, "up")).collect();
        let first = whole(&Endpoints::default(), &entries);
        assert_eq!(first.difference, ListDifference { added: size, ..ListDifference::default() });
        assert_eq!(whole(&first.endpoints, &entries).difference.unchanged, size);

        entries[7] = numbered(7, "draining");
        entries[8]["since_ms"] = json!(5);
        entries[9]["address"] = json!("127.0.0.1:9");
        entries[10] = numbered(size, "up");
        let next = whole(&first.endpoints, &entries);
        assert_eq!(next.difference, ListDifference { unchanged: size - 4, changed: 3, added: 1, removed: 1 });
        assert!(next.entries.windows(2).all(|w| w[0].id < w[1].id), "one for each, in order");
        for number in (0..=size).filter(|&n| n != 10) {
            let found = next.endpoints.find(&name(number)).and_then(|s| next.endpoints.get(s));
            assert_eq!(found.map(|e| &*e.name), Some(&*name(number)));
        }
        assert_eq!(next.endpoints.find(&name(10)), None);

        let others: Vec<Value> = (size + 1..=2 * size).map(|n| numbered(n, "up")).collect();
        let last = whole(&next.endpoints, &others);
        assert_eq!(
            last.difference,
            ListDifference { added: size, removed: size, ..ListDifference::default() }
        );
        assert_eq!((last.endpoints.len(), last.entries.len()), (size, size));
    }
}

#[test]
fn changes_one_by_one_come_to_the_same_as_a_whole_list_and_as_long_changes() {
    let start: Vec<Value> = (0..40).map(|n| numbered(n, "up")).collect();
    let mut known = whole(&Endpoints::default(), &start).endpoints;
    let random = &mut fastrand::Rng::with_seed(12);
    for _ in 0..300 {
        let list: Vec<Value> = (0..random.usize(0..6))
            .map(|_| {
                let mut e = numbered(random.usize(0..60), ["up", "draining", "removed"][random.usize(0..3)]);
                e["since_ms"] = json!(random.u32(0..3));
                if random.u32(0..4) == 0 {
                    e["address"] = json!(["", "127.0.0.1:9"][random.usize(0..2)]);
                }
                e
            })
            .collect();
        let beside = known.with_delta(read(&list).entries(), &places());
        let (told, stale) = changes(&mut known, &list);
        assert_eq!(beside.entries.iter().map(|m| (m.id, m.state)).collect::<Vec<_>>(), told);
        assert_eq!(beside.stale, stale);
        // The same again as a whole list differs in nothing.
        let all: Vec<Value> = (0..60)
            .filter_map(|n| known.get(known.find(&name(n))?))
            .map(|e| {
                let mut entry = entry(&e.name, e.address, "a", if e.is_active() { "up" } else { "draining" });
                entry["since_ms"] = json!(e.attributes.started_at_ms);
                entry
            })
            .collect();
        for endpoints in [&known, &beside.endpoints] {
            let same = ListDifference { unchanged: all.len(), ..ListDifference::default() };
            assert_eq!(whole(endpoints, &all).difference, same);
        }
    }
}

#[test]
fn a_change_for_an_app_server_that_is_not_known_adds_it_or_is_passed_over() {
    let mut known = whole(&Endpoints::default(), &[numbered(1, "up")]).endpoints;
    let (told, stale) =
        changes(&mut known, &[numbered(2, "removed"), json!({"name": "s-3", "status": "up"})]);
    assert!(told.is_empty() && stale.is_empty(), "without an address, or gone before it came");
    let (told, _) = changes(&mut known, &[numbered(2, "draining")]);
    assert_eq!(told, [(endpoint_id(&name(2)), EndpointState::Draining)]);
    assert_eq!(known.len(), 2);
    // Where another stands already the connections of both may lead to either.
    let mut there = numbered(3, "up");
    there["address"] = numbered(1, "up")["address"].clone();
    let (_, stale) = changes(&mut known, &[there]);
    assert_eq!(BTreeSet::from_iter(stale), BTreeSet::from([1, 3].map(|n| endpoint_id(&name(n)))));
}

#[test]
fn of_two_entries_for_one_name_the_later_stands() {
    let mut unplaced = numbered(1, "draining");
    unplaced["address"] = json!("");
    let list = whole(&Endpoints::default(), &[numbered(1, "up"), numbered(2, "up"), unplaced]);
    let states: BTreeSet<_> = list.entries.iter().map(|m| (m.id, m.state == EndpointState::Active)).collect();
    assert_eq!(states, BTreeSet::from([(endpoint_id(&name(1)), false), (endpoint_id(&name(2)), true)]));
    assert_eq!(list.entries.len(), 2);
    let first = list.endpoints.get(endpoint_id(&name(1))).expect("placed by the earlier entry");
    assert!(!first.is_active() && first.address.port() == 9);
}

#[test]
fn names_never_share_a_number_and_those_that_go_free_theirs() {
    let [a, b] = ALIKE.map(endpoint_id);
    assert_eq!(a.0 >> 32, b.0 >> 32, "the names of this test");
    assert_ne!(a, b);
    // Where all have one number, each has another all the same, and keeps it while it is known.
    let same = |_: &str| EndpointId(u64::MAX);
    let all = |numbers: &[usize]| numbers.iter().map(|&n| numbered(n, "up")).collect::<Vec<_>>();
    let mut known = whole(&Endpoints::with_id_function(same), &all(&[1, 2, 3])).endpoints;
    let ids =
        |e: &Endpoints, numbers: &[usize]| numbers.iter().map(|&n| e.find(&name(n))).collect::<Vec<_>>();
    let before = ids(&known, &[1, 2, 3]);
    assert_eq!(before.iter().flatten().collect::<BTreeSet<_>>().len(), 3);
    assert!(before.contains(&Some(EndpointId(u64::MAX))) && before.contains(&Some(EndpointId(0))));
    changes(&mut known, &[numbered(1, "removed"), numbered(4, "up")]);
    assert_eq!(ids(&known, &[1, 2, 3]), [None, before[1], before[2]]);
    let other = whole(&known, &all(&[0, 4, 3, 2])).endpoints;
    assert_eq!(ids(&other, &[2, 3, 4]), ids(&known, &[2, 3, 4]));
    assert_eq!(ids(&other, &[0, 2, 3, 4]).iter().flatten().collect::<BTreeSet<_>>().len(), 4);
    let none = whole(&other, &[]).endpoints;
    assert!(
        none.is_empty() && whole(&none, &all(&[5])).endpoints.find(&name(5)) == Some(EndpointId(u64::MAX))
    );
}

#[test]
fn one_malformed_entry_among_many_hides_no_other_and_many_do_not_fill_the_log() {
    let mut entries: Vec<Value> = (0..MANY).map(|n| numbered(n, "up")).collect();
    entries[MANY / 2]["status"] = json!(7);
    let list = read(&entries);
    assert_eq!((list.entries().len(), list.faults().count()), (MANY - 1, 1));
    assert!(list.is_usable());
    let bad = read(&vec![json!({"name": 7}); MANY]);
    assert_eq!((bad.entries().len(), bad.faults().count()), (0, MANY));
    assert!(!bad.is_usable() && bad.faults().lines().count() == MAX_LOGGED_FAULTS + 1);
    let told = whole(&Endpoints::default(), &vec![json!({"name": "s-1", "status": "up"}); 3]);
    assert_eq!((told.entries.len(), told.faults.count()), (0, 1), "of entries for one name only one counts");
}

/// Entries, each with a size, a place, a start and a state drawn by lot, so that few are as they were.
fn drawn(random: &mut fastrand::Rng, most: usize) -> Vec<Value> {
    let states = ["up", "up", "up", "draining", "removed"];
    let count = random.usize(..2 * most);
    let each = |_| {
        let mut e = numbered(random.usize(..most), states[random.usize(..5)]);
        e["zone"] = json!(["a", "b"][random.usize(..2)]);
        (e["group"], e["since_ms"]) = (json!(random.u32(..2)), json!(random.u32(..2)));
        e["weight"] = json!(1 + random.u32(..2));
        e
    };
    (0..count).map(each).collect()
}

/// The decisions of a node that is alone with its servers, and asks each of them.
fn decisions() -> DecisionEngine {
    let class =
        RequestClass { latency_objective: 1 << 40, total_timeout: 1 << 41, ..RequestClass::default() };
    let limits = Limits { max_attempts: 4, ..Limits::default() };
    let set = Settings {
        node_count: 1,
        classes: vec![class],
        plans: vec![Plan::default()],
        limits,
        ..Settings::default()
    };
    DecisionEngine::new(7, set)
}

fn hear(decisions: &mut DecisionEngine, kind: EndpointUpdateKind, entries: Vec<EndpointEntry>) {
    decisions.handle(1_000_000, Event::EndpointsUpdated { kind, entries }, &mut Vec::new());
}

/// Where it sends requests that stay out.
fn sends(decisions: &mut DecisionEngine, requests: usize) -> BTreeSet<EndpointId> {
    let mut actions = Vec::new();
    for number in 0..requests {
        let id = RequestId::from(format!("r{number}").as_str());
        let (customer, due) = (AccountId(1), 1 << 41);
        let (class, plan, units, first_node, spread, marked_retry) = (0, 0, 1.0, 0, 1, false);
        let new = NewRequest {
            id,
            account: customer,
            class,
            plan,
            units,
            first_account_node: first_node,
            account_node_count: spread,
            is_retry: marked_retry,
            deadline: due,
        };
        decisions.handle(1_000_000, Event::RequestReceived(new), &mut actions);
    }
    let sent =
        |action| if let Action::StartAttempt { endpoint: server, .. } = action { Some(server) } else { None };
    actions.into_iter().filter_map(sent).collect()
}

#[test]
fn the_decisions_know_the_same_from_parts_of_a_delta_as_from_the_whole_list() {
    let places = PlacementLabels::new(vec!["a".into(), "b".into()], vec!["m1".into()]);
    for seed in 0..60 {
        let random = &mut fastrand::Rng::with_seed(seed);
        let (mut whole, mut told) = (decisions(), decisions());
        let mut known = Endpoints::default();
        for _ in 0..6 {
            let list = read(&drawn(random, 40));
            let next = known.with_snapshot(list.entries(), &places);
            hear(&mut whole, EndpointUpdateKind::Snapshot, next.entries.clone());
            for part in next.endpoints.delta_since(&known).chunks(1 + random.usize(..9)) {
                hear(&mut told, EndpointUpdateKind::Delta, part.to_vec());
            }
            assert_eq!((told.kept(), told.kept().1), (whole.kept(), next.endpoints.len()));
            // The whole list finds nothing left that differs, beside what it tells again to have gone.
            let (_, touched) = told.work();
            let listed = next.entries.into_iter().filter(|m| m.state != EndpointState::Removed).collect();
            hear(&mut told, EndpointUpdateKind::Snapshot, listed);
            assert_eq!((told.work().1, told.kept()), (touched, whole.kept()), "seed {seed}");
            known = next.endpoints;
        }
        let up = (0..40)
            .filter_map(|n| known.find(&name(n)))
            .filter(|&s| known.get(s).is_some_and(|e| e.is_active()));
        let up: BTreeSet<_> = up.collect();
        assert_eq!((&sends(&mut told, 400), &sends(&mut whole, 400)), (&up, &up), "seed {seed}");
    }
}

#[test]
fn a_delta_holds_what_the_decisions_know_otherwise_and_nothing_else_at_any_size() {
    for size in SIZES {
        let mut entries: Vec<Value> = (0..size).map(|n| numbered(n, "up")).collect();
        let first = whole(&Endpoints::default(), &entries).endpoints;
        assert!(first.delta_since(&whole(&first, &entries).endpoints).is_empty());
        entries[3]["address"] = json!("127.0.0.1:9");
        let fields =
            [("zone", json!("z")), ("type", json!("m2")), ("group", json!(2)), ("weight", json!(2.5))];
        let states = [("since_ms", json!(5)), ("status", json!("draining"))];
        for (at, (field, value)) in fields.into_iter().chain(states).enumerate() {
            entries[4 + at][field] = value;
        }
        let gone = std::mem::replace(&mut entries[20], numbered(size, "up"));
        let next = whole(&first, &entries).endpoints;
        let delta = next.delta_since(&first);
        let ids: BTreeSet<_> = delta.iter().map(|m| m.id).collect();
        let named = (4..10).chain([20, size]).map(|n| endpoint_id(&name(n)));
        assert_eq!((ids, delta.len()), (named.collect(), 8));
        let out = delta.iter().find(|m| m.state == EndpointState::Removed).expect("one that has gone");
        assert_eq!(
            (out.id, out.zone, out.cell),
            (endpoint_id(&name(20)), 0, gone["group"].as_u64().unwrap() as u32)
        );
    }
}

#[test]
fn no_part_of_a_delta_is_long_and_none_leaves_fewer_in_service_than_before_or_after() {
    let up = |numbers: std::ops::Range<usize>| numbers.map(|n| numbered(n, "up"));
    let draining = |numbers: std::ops::Range<usize>| numbers.map(|n| numbered(n, "draining"));
    let lists: [(Vec<Value>, Vec<Value>); 4] = [
        // All replaced; half drain, a half has gone, and all come new; the drained come back for the others; few stay.
        (up(0..MANY).collect(), up(MANY..2 * MANY).collect()),
        (up(0..4000).collect(), draining(0..2000).chain(up(4000..8000)).collect()),
        (
            up(0..2000).chain(draining(2000..4000)).collect(),
            draining(0..2000).chain(up(2000..4000)).collect(),
        ),
        (up(0..4000).collect(), draining(0..2000).chain(up(5000..5100)).collect()),
    ];
    for (before, after) in lists {
        let before = whole(&Endpoints::default(), &before).endpoints;
        let after = whole(&before, &after).endpoints;
        let mut open: BTreeSet<_> = before.active_ids().collect();
        let least = open.len().min(after.active_ids().count());
        let delta = after.delta_since(&before);
        let told = parts(&delta);
        assert!(
            told.iter().all(|part| (1..=ENTRIES_PER_PART).contains(&part.len()))
                && told.len() == delta.len().div_ceil(ENTRIES_PER_PART)
        );
        for member in told.concat() {
            if member.state == EndpointState::Active {
                open.insert(member.id);
            } else {
                open.remove(&member.id);
            }
            assert!(open.len() >= least, "{} in service, {least} at one end", open.len());
        }
        assert_eq!(open, after.active_ids().collect());
    }
}

fn list(index: u64, entries: &[Value]) -> Value {
    json!({"index": index, "snapshot": true, "endpoints": entries})
}

fn with_length(text: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len())
}

/// Answers watches from one version with this list, until the node watches from the other. Danger: on a slow
/// machine a watch may have been given up before its answer was whole; it comes again then.
fn tell(agent: &App, from: u64, to: u64, text: &str) {
    let (from, to_call) = (format!("after={from}&"), format!("after={to}&"));
    loop {
        let seen = agent.next();
        if seen.message.first.contains(&to_call) {
            let nothing = json!({"index": to, "snapshot": false, "endpoints": []}).to_string();
            return seen.spoil(with_length(&nothing).as_bytes());
        }
        if seen.message.first.contains(&from) {
            seen.spoil(with_length(text).as_bytes());
        }
    }
}

/// A node that knows these, and its agent.
fn start(entries: &[Value]) -> (Edge, App, Value) {
    let agent = App::new();
    let mut config = config(entries);
    config["discovery"] = json!(agent.address.to_string());
    (Edge::new(&config), agent, config)
}

/// That the node's next request goes to this app server; the node's end of the connection.
fn served(app: &App, edge: &Edge, id: &str) -> std::net::SocketAddr {
    let mut client = edge.client();
    client.ask(&ask("post", id));
    let seen = app.next();
    let line = seen.line();
    seen.answer("200 OK", "", "ok");
    assert_eq!(client.answer().status(), 200);
    line
}

/// So many with names twice as long as the protocol's, all at this app server, indented.
fn long(index: u64, app: &App) -> String {
    let entries = (0..MANY).map(|n| entry(&format!("s-{index:08x}{n:010x}"), app.address, "a", "up"));
    let mut entries: Vec<Value> = entries.collect();
    entries[MANY / 2] = json!({"name": 7});
    let text = serde_json::to_string_pretty(&list(index, &entries)).expect("JSON");
    assert!((8 << 20..MAX_LIST_BYTES).contains(&text.len()), "{} bytes", text.len());
    text
}

#[test]
fn a_long_indented_list_is_taken_in_and_then_another_in_its_place() {
    let (first, second) = (App::new(), App::new());
    let texts = [long(2, &first), long(3, &second)];
    let (mut edge, agent, _) = start(&[entry("s-1", nobody(), "a", "up")]);
    tell(&agent, 1, 2, &texts[0]);
    served(&first, &edge, "p-1");
    while !edge.says().contains("malformed entry") {}
    tell(&agent, 2, 3, &texts[1]);
    served(&second, &edge, "p-2");
    first.no_request();
}

#[test]
fn a_long_list_that_a_move_overtakes_undoes_nothing() {
    let (old, new, other) = (App::new(), App::new(), App::new());
    let text = with_length(&long(9, &old));
    let (edge, agent, mut config) = start(&[entry("s-1", old.address, "a", "up")]);
    // Both the fetch and the watch; wherever the move finds the long list, on its way, half made ready or taken in.
    agent.next().spoil(text.as_bytes());
    agent.next().spoil(text.as_bytes());
    config["discovery"] = json!(other.address.to_string());
    edge.reload(&config.to_string());
    let list = list(3, &[entry("s-2", new.address, "a", "up")]).to_string();
    loop {
        let seen = other.next();
        if seen.message.first.contains("after=3&") {
            break;
        }
        seen.spoil(with_length(&list).as_bytes());
    }
    for number in 0..3 {
        served(&new, &edge, &format!("p-{number}"));
    }
    old.no_request();
}

/// A node in this process, which knows nothing yet, and its discovery.
fn in_process(agent: &App) -> (Rc<EventLoop>, Rc<Discovery>) {
    let env: SettingsDocument = serde_json::from_value(settings()).expect("settings");
    let settings = Settings::from(env);
    let pace = WatchSchedule::new(1, settings.node_count, false);
    let servers = Upstreams::new(DescriptorBudget::new(64), 0, 0);
    let discovery = Discovery::new(agent.address, servers.clone(), places(), pace);
    let counter = CounterClient::new(None, settings.counter.timeout);
    let node = EventLoop::new(DecisionEngine::new(1, settings), 4, servers, counter, discovery.clone());
    (node, discovery)
}

/// The node as a receiver of events.
fn events(node: &Rc<EventLoop>) -> Rc<dyn EventSink> {
    node.clone()
}

/// A call that has come by now.
fn arrived(agent: &App) -> Option<Seen> {
    agent.poll_once()
}

/// Lets the node's tasks go on until this comes back with something.
async fn until<T>(mut look: impl FnMut() -> Option<T>) -> T {
    let end = std::time::Instant::now() + PATIENCE;
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(std::time::Instant::now() < end, "not in time");
        tokio::task::yield_now().await;
    }
}

/// Runs this on a runtime as the edge node's.
fn on_one_thread(test: impl std::future::Future<Output = ()>) {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let local = tokio::runtime::LocalOptions::default();
    builder.enable_all().build_local(local).expect("a runtime").block_on(test);
}

#[test]
fn a_long_list_is_not_put_in_place_after_a_move_that_came_while_it_was_made_ready() {
    let (agent, other) = (App::new(), App::new());
    let text = with_length(&long(9, &agent));
    on_one_thread(async {
        let (node, discovery) = in_process(&agent);
        discovery.start(&events(&node), EndpointList::default());
        until(|| arrived(&agent).filter(|seen| seen.message.first.contains("after=0&"))).await;
        discovery.fetch(node.clone());
        let fetch = until(|| arrived(&agent).filter(|seen| !seen.message.first.contains("after="))).await;
        let known = Arc::downgrade(&node.upstreams.endpoints());
        let sent = std::thread::spawn(move || fetch.spoil(text.as_bytes()));
        // Whoever makes a list ready holds on to what it is made ready beside.
        until(|| (known.strong_count() > 1).then_some(())).await;
        discovery.move_to(&events(&node), other.address);
        until(|| (known.strong_count() <= 1).then_some(())).await;
        assert!(node.upstreams.endpoints().is_empty(), "what the old agent told was taken in after the move");
        let new = list(3, &[numbered(1, "up")]).to_string();
        // Calls that were given up meanwhile are answered, too.
        until(|| {
            let seen = arrived(&other)?;
            let taken = seen.message.first.contains("after=3&");
            seen.spoil(with_length(&new).as_bytes());
            taken.then_some(())
        })
        .await;
        sent.join().expect("sent");
        let endpoints = node.upstreams.endpoints();
        assert_eq!((endpoints.len(), endpoints.find(&name(1)).is_some()), (1, true));
    });
}

#[test]
fn long_changes_do_not_undo_what_came_while_they_were_made_ready() {
    let agent = App::new();
    let entries: Vec<Value> = (0..MANY).map(|n| numbered(n, "up")).collect();
    let text = with_length(&json!({"index": 2, "snapshot": false, "endpoints": entries}).to_string());
    on_one_thread(async {
        let (node, discovery) = in_process(&agent);
        discovery.start(&events(&node), EndpointList::default());
        let watch = until(|| arrived(&agent).filter(|seen| seen.message.first.contains("after=0&"))).await;
        let known = Arc::downgrade(&node.upstreams.endpoints());
        let sent = std::thread::spawn(move || watch.spoil(text.as_bytes()));
        until(|| (known.strong_count() > 1).then_some(())).await;
        let late = read(&[numbered(MANY, "up")]);
        node.upstreams.apply_delta(late.entries(), &places());
        until(|| arrived(&agent).filter(|seen| seen.message.first.contains("after=2&"))).await;
        sent.join().expect("sent");
        let endpoints = node.upstreams.endpoints();
        assert_eq!((endpoints.len(), endpoints.find(&name(MANY)).is_some()), (MANY + 1, true));
    });
}

/// So many app servers make a long list, and a delta of some tens of parts.
const SOME: usize = 12_000;
/// In so many turns of the runtime what goes out on a connection of this machine has been written.
const TURNS: usize = 20;

/// A long list of so many, from this number on, at this app server.
fn many(index: u64, from: usize, app: &App, others: &[Value]) -> String {
    let entries = (from..from + SOME).map(|n| entry(&name(n), app.address, "a", "up"));
    with_length(&list(index, &entries.chain(others.iter().cloned()).collect::<Vec<_>>()).to_string())
}

/// Sends this in a thread of its own: a long one does not fit into a socket.
fn send(seen: Seen, text: &str) {
    let text = text.to_string();
    std::thread::spawn(move || seen.spoil(text.as_bytes()));
}

/// The next watch from this version; none if it has not come yet.
fn watch(agent: &App, version: u64) -> Option<Seen> {
    arrived(agent).filter(|seen| seen.message.first.contains(&format!("after={version}&")))
}

/// Answers watches from this version with this list until the decisions have been told of a part of it.
async fn halfway(node: &Rc<EventLoop>, agent: &App, version: u64, text: &str) {
    until(|| {
        if let Some(seen) = watch(agent, version) {
            send(seen, text);
        }
        node.upstreams.is_replacing_endpoints().then_some(())
    })
    .await;
}

/// Goes on until they have been told of all of it; in how many turns.
async fn to_the_end(node: &Rc<EventLoop>) -> usize {
    let mut turns = 0;
    until(|| {
        turns += 1;
        (!node.upstreams.is_replacing_endpoints()).then_some(turns)
    })
    .await
}

async fn turns() {
    for _ in 0..TURNS {
        tokio::task::yield_now().await;
    }
}

/// The next call, which may still have to be made. Its reader's thread is waited for while no part is told.
async fn next_call(agent: &App) -> Seen {
    for _ in 0..TURNS {
        if let Some(seen) = arrived(agent) {
            return seen;
        }
        tokio::task::yield_now().await;
    }
    agent.next()
}

/// How attempts at the app servers of these numbers end. So many of them get to each of these, which answers.
async fn attempts(node: &Rc<EventLoop>, numbers: &[usize], apps: &[(&App, usize)]) -> Vec<Outcome> {
    let attempt = |&number: &usize| {
        let node = node.clone();
        tokio::task::spawn_local(async move {
            let (method, uri) = (hyper::Method::GET, hyper::Uri::from_static("/"));
            let id = hyper::header::HeaderValue::from_static("p");
            let forward = ForwardedRequest {
                method,
                uri,
                request_id: id,
                idempotency_key: None,
                body: bytes::Bytes::new(),
            };
            let (server, stop) = (number_of(number), node.clock.now() + 20_000_000);
            node.upstreams.attempt(&node.clock, server, &forward, stop, &Cell::new(false)).await.outcome
        })
    };
    let tasks: Vec<_> = numbers.iter().map(attempt).collect();
    turns().await;
    for &(app, count) in apps {
        (0..count).for_each(|_| app.next().answer("200 OK", "", "ok"));
    }
    let mut outcomes = Vec::new();
    for task in tasks {
        outcomes.push(task.await.expect("no panic"));
    }
    outcomes
}

fn number_of(number: usize) -> EndpointId {
    endpoint_id(&name(number))
}

#[test]
fn between_two_parts_all_are_reached_that_the_decisions_may_choose_and_what_drains_is_not() {
    let (agent, first, second) = (App::new(), App::new(), App::new());
    let (drains, moves) = (2 * SOME, 2 * SOME + 1);
    let at = |number, app: &App, status| entry(&name(number), app.address, "a", status);
    let known = [at(drains, &first, "up"), at(moves, &first, "up")];
    let next = [at(drains, &first, "draining"), at(moves, &second, "up")];
    let texts = [many(2, 0, &first, &known), many(3, SOME, &second, &next)];
    on_one_thread(async {
        let (node, discovery) = in_process(&agent);
        discovery.start(&events(&node), EndpointList::default());
        halfway(&node, &agent, 0, &texts[0]).await;
        to_the_end(&node).await;
        // One gets a connection that is kept.
        assert_eq!(attempts(&node, &[7], &[(&first, 1)]).await, [Outcome::Ok]);
        halfway(&node, &agent, 2, &texts[1]).await;
        let numbers = [7, 8, SOME + 7, moves, drains];
        let outcomes = attempts(&node, &numbers, &[(&first, 2), (&second, 2)]).await;
        assert_eq!(outcomes[..4], [Outcome::Ok; 4], "gone but not told so yet, new, moved");
        assert_eq!(outcomes[4], Outcome::ConnectFailed);
        assert!(node.upstreams.is_replacing_endpoints(), "all of this between two parts");
        to_the_end(&node).await;
        let outcomes = attempts(&node, &[7, 8, SOME + 7], &[(&second, 1)]).await;
        assert_eq!(outcomes, [Outcome::ConnectFailed, Outcome::ConnectFailed, Outcome::Ok]);
        first.no_request();
    });
}

#[test]
fn requests_get_a_turn_between_any_two_parts_and_a_list_of_nothing_new_has_none() {
    let (agent, app) = (App::new(), App::new());
    on_one_thread(async {
        let (node, discovery) = in_process(&agent);
        discovery.start(&events(&node), EndpointList::default());
        for (from, to, first, delta) in [(0, 2, 0, SOME), (2, 3, SOME, 2 * SOME)] {
            halfway(&node, &agent, from, &many(to, first, &app, &[])).await;
            assert!(to_the_end(&node).await + 1 >= delta.div_ceil(ENTRIES_PER_PART));
        }
        let same = many(4, SOME, &app, &[]);
        let next = until(|| {
            assert!(!node.upstreams.is_replacing_endpoints(), "the same list again");
            let seen = arrived(&agent)?;
            if seen.message.first.contains("after=3&") {
                send(seen, &same);
                return None;
            }
            Some(seen)
        });
        assert!(next.await.message.first.contains("after=4&"));
    });
}

#[test]
fn a_move_between_two_parts_leaves_no_half_of_a_list_and_no_version_of_the_old_agent() {
    let (agent, other, app) = (App::new(), App::new(), App::new());
    let text = many(9, 0, &app, &[]);
    on_one_thread(async {
        let (node, discovery) = in_process(&agent);
        discovery.start(&events(&node), EndpointList::default());
        halfway(&node, &agent, 0, &text).await;
        discovery.move_to(&events(&node), other.address);
        let call = next_call(&other).await;
        assert!(node.upstreams.is_replacing_endpoints(), "moved between two parts");
        to_the_end(&node).await;
        assert_eq!(node.upstreams.endpoints().len(), SOME);
        call.spoil(b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n");
        let call = until(|| arrived(&other)).await;
        assert!(!call.message.first.contains("after="), "asked from the old agent's version");
        call.answer("200 OK", "", &list(3, &[numbered(1, "up")]).to_string());
        until(|| watch(&other, 3)).await;
        assert_eq!(node.upstreams.endpoints().len(), 1);
    });
}

#[test]
fn a_list_that_comes_between_two_parts_is_taken_in_after_the_last_unless_it_is_older() {
    for (version, short) in [(8, true), (10, true), (8, false), (10, false)] {
        let (agent, app) = (App::new(), App::new());
        let text = many(9, 0, &app, &[]);
        let other = if short {
            with_length(&list(version, &[numbered(SOME, "up")]).to_string())
        } else {
            many(version, SOME, &app, &[])
        };
        on_one_thread(async {
            let (node, discovery) = in_process(&agent);
            discovery.start(&events(&node), EndpointList::default());
            until(|| arrived(&agent).filter(|seen| !seen.message.first.contains("after="))).await;
            halfway(&node, &agent, 0, &text).await;
            discovery.fetch(node.clone());
            send(next_call(&agent).await, &other);
            turns().await;
            assert!(node.upstreams.is_replacing_endpoints(), "told between two parts");
            let found = |number| node.upstreams.endpoints().find(&name(number)).is_some();
            assert!(found(0) && !found(SOME), "taken in between two parts");
            to_the_end(&node).await;
            if version > 9 {
                return until(|| found(SOME).then_some(())).await;
            }
            // Whoever makes a list ready holds on to what it is made ready beside.
            let known = Arc::downgrade(&node.upstreams.endpoints());
            turns().await;
            until(|| (known.strong_count() <= 1).then_some(())).await;
            turns().await;
            assert!(found(0) && !found(SOME), "an older list was taken in");
        });
    }
}

#[test]
fn of_two_long_lists_the_second_is_not_put_in_place_before_the_decisions_know_all_of_the_first() {
    on_one_thread(async {
        let (node, _) = in_process(&App::new());
        let applier = ListApplier::new(node.upstreams.clone(), places());
        let take_in = |from: usize| {
            let list = read(&(from..from + SOME).map(|n| numbered(n, "up")).collect::<Vec<_>>());
            let (applier, events, told) =
                (applier.clone(), events(&node), ReceivedList { list, is_long: true });
            tokio::task::spawn_local(async move {
                applier.apply(&events, told, EndpointUpdateKind::Snapshot).await
            })
        };
        let first = take_in(0);
        until(|| node.upstreams.is_replacing_endpoints().then_some(())).await;
        let second = take_in(SOME);
        tokio::task::yield_now().await;
        // The task that has a list made ready and the thread that does so hold on to what it is made ready beside.
        let known = Arc::downgrade(&node.upstreams.endpoints());
        while known.strong_count() > 2 {
            std::thread::yield_now();
        }
        turns().await;
        let found = |number| node.upstreams.endpoints().find(&name(number)).is_some();
        assert!(node.upstreams.is_replacing_endpoints() && found(0) && !found(SOME));
        assert_eq!(first.await.expect("no panic").expect("applied"), ApplyOutcome::Applied);
        assert_eq!(second.await.expect("no panic").expect("applied"), ApplyOutcome::Applied);
        assert!(!node.upstreams.is_replacing_endpoints() && !found(0) && found(SOME));
    });
}

#[test]
fn a_whole_list_leaves_connections_alone_but_those_of_an_address_taken_over() {
    let app = App::new();
    let known = [entry("s-1", app.address, "a", "up")];
    let (edge, agent, _) = start(&known);
    let line = served(&app, &edge, "p-1");
    // A connection rests for 20 ms before it is used again.
    std::thread::sleep(Duration::from_millis(30));
    tell(&agent, 1, 2, &list(2, &known).to_string());
    assert_eq!(served(&app, &edge, "p-2"), line, "closed though nothing has changed");
    std::thread::sleep(Duration::from_millis(30));
    // The one that has gone is still listed; its connection leads to it and not to the new one.
    let both = [&known[..], &[entry("s-2", app.address, "a", "up")]].concat();
    tell(&agent, 2, 3, &list(3, &both).to_string());
    for number in 0..20 {
        let id = format!("q-{number}");
        assert_ne!(served(&app, &edge, &id), line, "a connection to the app server that was there before");
    }
}

#[test]
fn two_names_of_one_hash_are_both_used() {
    let apps = [App::new(), App::new()];
    let entries = [0, 1].map(|n| entry(ALIKE[n], apps[n].address, "a", "up"));
    let (edge, _agent, _) = start(&entries);
    let mut seen = BTreeSet::new();
    for number in 0..200 {
        let mut client = edge.client();
        client.ask(&ask("post", &format!("p-{number}")));
        let (which, request) = next_of(&[&apps[0], &apps[1]]);
        request.answer("200 OK", "", "ok");
        assert_eq!(client.answer().status(), 200);
        seen.insert(which);
        if seen.len() == 2 {
            return;
        }
    }
    panic!("200 requests went to one of two app servers");
}
