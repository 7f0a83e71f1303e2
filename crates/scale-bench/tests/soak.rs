//! Tests of the subcommand `soak`: drawing a play from its seed, and the rules against which requests are
//! checked.

mod common {
    pub mod command;
}

use std::time::Duration;

use common::command::{assert_rejected_in_one_line, run};
use scale_bench::soak::{Behaviour, Ending, Plan, RequestLog, Violation};
use tokio::time::Instant;

const DEADLINE: Duration = Duration::from_millis(800);

/// Returns the log of one request that had attempts at endpoints with these behaviours and this ending.
fn request_log(is_idempotent: bool, attempts: &[Behaviour], ending: Ending) -> RequestLog {
    let request_log = RequestLog::default();
    request_log.record_sent("r-1", is_idempotent, DEADLINE);
    for &behaviour in attempts {
        request_log.record_attempt("r-1", behaviour);
    }
    request_log.record_ending("r-1", ending);
    request_log
}

/// Returns the ending of a request with status 200 and this body.
fn served(body: &str) -> Ending {
    Ending::Responded { status: 200, body: body.into() }
}

#[test]
fn same_seed_draws_the_same_plan() {
    let text = |seed| serde_json::to_string(&Plan::draw(seed)).expect("the plan should serialize");
    assert_eq!(text(3), text(3));
    assert_ne!(text(3), text(4));
    let plans: Vec<Plan> = (0..300).map(Plan::draw).collect();
    let floods = plans.iter().filter(|plan| plan.flood.is_some()).count();
    let of_one_class = plans.iter().filter(|plan| plan.only_class.is_some()).count();
    assert!(
        (70..130).contains(&floods) && (70..130).contains(&of_one_class),
        "of 300 plays, {floods} have a flood and {of_one_class} have one class"
    );
}

#[test]
fn permitted_endings_are_not_reported() {
    let kept = [
        request_log(false, &[Behaviour::Serve], served("r-1 127.1.0.1")),
        request_log(false, &[Behaviour::Reject, Behaviour::Serve], served("r-1 127.1.0.1")),
        request_log(true, &[Behaviour::Reset, Behaviour::Serve], served("r-1 127.1.0.1")),
        request_log(false, &[Behaviour::Hang], Ending::Responded { status: 502, body: Vec::new() }),
        request_log(false, &[], Ending::Closed { may_close_unread: true }),
        request_log(false, &[Behaviour::Hang], Ending::ClosedByClient { at: Instant::now() }),
    ];
    for (number, request_log) in kept.iter().enumerate() {
        assert_eq!(request_log.violations(), [], "request log {number}");
    }
}

#[test]
fn violations_of_requests_are_reported() {
    let id = || "r-1".to_owned();
    let cases = [
        (
            request_log(true, &[], Ending::TimedOut),
            Violation::NoAnswer { id: id(), time_ms: 1_300, attempts: 0 },
        ),
        (
            request_log(true, &[], Ending::Closed { may_close_unread: false }),
            Violation::ClosedWithoutAnswer { id: id(), attempts: 0 },
        ),
        (
            // An attempt arrived at an endpoint, so the node had read the request.
            request_log(true, &[Behaviour::Serve], Ending::Closed { may_close_unread: true }),
            Violation::ClosedWithoutAnswer { id: id(), attempts: 1 },
        ),
        (
            request_log(true, &[Behaviour::Serve], Ending::Incomplete),
            Violation::IncompleteAnswer { id: id() },
        ),
        (
            request_log(true, &[Behaviour::Serve], served("r-2 127.1.0.1")),
            Violation::WrongBody { id: id(), body: "r-2 127.1.0.1".into() },
        ),
        (
            request_log(false, &[Behaviour::Fail, Behaviour::Serve], served("r-1 127.1.0.1")),
            Violation::SentTwice { id: id(), attempts: 2 },
        ),
    ];
    for (request_log, violation) in cases {
        assert_eq!(request_log.violations(), [violation]);
    }
}

#[test]
fn attempt_after_its_client_closed_is_reported() {
    let long_ago = Instant::now() - Duration::from_millis(200);
    let request_log = request_log(true, &[Behaviour::Serve], Ending::ClosedByClient { at: long_ago });
    let violations = request_log.violations();
    assert!(matches!(violations[..], [Violation::AttemptAfterClose { .. }]), "{violations:?}");
}

#[test]
fn invalid_seeds_are_rejected_in_one_line() {
    for seeds in ["5..2", "x", "1..", "1..2000"] {
        let arguments = ["--seeds", seeds];
        let line = assert_rejected_in_one_line(&run("soak", &arguments), &arguments);
        assert!(line.contains("--seeds"), "{line}");
    }
}
