//! The soak's seeds, and the rules that its requests are checked by.

mod common {
    pub mod command;
}

use std::time::Duration;

use common::command::{assert_refused_in_one_line, run};
use scale_bench::soak::{Behaviour, Ending, Ledger, Plan, Violation};
use tokio::time::Instant;

const DEADLINE: Duration = Duration::from_millis(800);

/// A ledger with one request that ended like this after these attempts.
fn ledger(is_idempotent: bool, attempts: &[Behaviour], ending: Ending) -> Ledger {
    let ledger = Ledger::default();
    ledger.sent("r-1", is_idempotent, DEADLINE);
    for &behaviour in attempts {
        ledger.attempted("r-1", behaviour);
    }
    ledger.ended("r-1", ending);
    ledger
}

fn served(body: &str) -> Ending {
    Ending::Answered { status: 200, body: body.into() }
}

#[test]
fn same_seed_draws_the_same_play() {
    let text = |seed| serde_json::to_string(&Plan::draw(seed)).expect("a plan");
    assert_eq!(text(3), text(3));
    assert_ne!(text(3), text(4));
    let plans: Vec<Plan> = (0..300).map(Plan::draw).collect();
    let floods = plans.iter().filter(|plan| plan.flood.is_some()).count();
    let of_one_class = plans.iter().filter(|plan| plan.only_class.is_some()).count();
    assert!((70..130).contains(&floods) && (70..130).contains(&of_one_class), "{floods}, {of_one_class}");
}

#[test]
fn requests_that_keep_the_rules_are_not_reported() {
    let kept = [
        ledger(false, &[Behaviour::Serve], served("r-1 127.1.0.1")),
        ledger(false, &[Behaviour::Reject, Behaviour::Serve], served("r-1 127.1.0.1")),
        ledger(true, &[Behaviour::Reset, Behaviour::Serve], served("r-1 127.1.0.1")),
        ledger(false, &[Behaviour::Hang], Ending::Answered { status: 502, body: Vec::new() }),
        ledger(false, &[], Ending::Closed { may_be_unread: true }),
        ledger(false, &[Behaviour::Hang], Ending::Left { at: Instant::now() }),
    ];
    for (number, ledger) in kept.iter().enumerate() {
        assert_eq!(ledger.violations(), [], "ledger {number}");
    }
}

#[test]
fn each_broken_rule_is_reported() {
    let id = || "r-1".to_owned();
    let cases = [
        (ledger(true, &[], Ending::Late), Violation::NoAnswer { id: id(), time_ms: 1_300, attempts: 0 }),
        (
            ledger(true, &[], Ending::Closed { may_be_unread: false }),
            Violation::ClosedWithoutAnswer { id: id(), attempts: 0 },
        ),
        (
            // An endpoint had it, so it was read.
            ledger(true, &[Behaviour::Serve], Ending::Closed { may_be_unread: true }),
            Violation::ClosedWithoutAnswer { id: id(), attempts: 1 },
        ),
        (ledger(true, &[Behaviour::Serve], Ending::Incomplete), Violation::IncompleteAnswer { id: id() }),
        (
            ledger(true, &[Behaviour::Serve], served("r-2 127.1.0.1")),
            Violation::WrongBody { id: id(), body: "r-2 127.1.0.1".into() },
        ),
        (
            ledger(false, &[Behaviour::Fail, Behaviour::Serve], served("r-1 127.1.0.1")),
            Violation::SentTwice { id: id(), attempts: 2 },
        ),
    ];
    for (ledger, violation) in cases {
        assert_eq!(ledger.violations(), [violation]);
    }
}

#[test]
fn attempt_that_begins_after_its_client_closed_is_reported() {
    let long_ago = Instant::now() - Duration::from_millis(200);
    let ledger = ledger(true, &[Behaviour::Serve], Ending::Left { at: long_ago });
    let violations = ledger.violations();
    assert!(matches!(violations[..], [Violation::AttemptAfterClose { .. }]), "{violations:?}");
}

#[test]
fn seeds_that_make_no_sense_are_refused_in_one_line() {
    for seeds in ["5..2", "x", "1..", "1..2000"] {
        let arguments = ["--seeds", seeds];
        let line = assert_refused_in_one_line(&run("soak", &arguments), &arguments);
        assert!(line.contains("--seeds"), "{line}");
    }
}
