//! The simulator adapter: replies to messages, errors of malformed lines, and unknown names in messages.

use edge_node::protocol::simulator::{run, SimulatorError};

/// Starts a node with one endpoint. The settings, the entry and the update each contain a field that the
/// adapter does not know.
const START: &str = r#"{"time":1000000,"parts":[{"node_id":"node_0","msgs":[{"what":"PowerOn","salt":3,"env":{"n_instances":1,"me":0,"new_setting":4,"bounds":{"try_limit":3},"classes":[{"on_time":500000,"deadline":2000000,"effect":"safe"}]}},{"what":"Pool","list":0,"members":[{"server":12,"condition":"IN","novel":true}]},{"what":"Membership","how":"total","rev":1,"list":0}]}]}"#;
/// A message of an unknown kind, followed by a request.
const REQUEST: &str = r#"{"time":1002000,"parts":[{"node_id":"node_0","msgs":[{"what":"Novelty"},{"what":"Knock","xid":"rq_1","lane":0,"member":"91f03b7c55d20a64","due":2900000,"mood":1}]}]}"#;
/// A request without its id.
const REQUEST_WITHOUT_ID: &str =
    r#"{"time":1002000,"parts":[{"node_id":"node_0","msgs":[{"what":"Knock","lane":0}]}]}"#;
const EMPTY_BATCH: &str = r#"{"time":1003000,"parts":[]}"#;

/// The result of the adapter and its output up to the end.
struct Run {
    result: Result<(), SimulatorError>,
    output: String,
}

fn run_on(lines: &[&str]) -> Run {
    let mut output = Vec::new();
    let result = run(lines.join("\n").as_bytes(), &mut output);
    Run { result, output: String::from_utf8(output).expect("output is not UTF-8") }
}

#[test]
fn request_is_forwarded_and_unknown_names_are_ignored() {
    let Run { result, output } = run_on(&[START, REQUEST, EMPTY_BATCH]);
    result.expect("the adapter failed on valid batches");
    assert_eq!(output.lines().count(), 3, "expected one reply per batch");
    assert!(output.contains(r#"{"what":"PassOn","xid":"rq_1","server":12,"timeout":0}"#), "{output}");
    assert_eq!(output.lines().last(), Some(r#"{"parts":[]}"#));
}

#[test]
fn error_names_the_malformed_line_the_missing_field_or_the_unknown_node() {
    let not_json =
        run_on(&[START, "not json"]).result.expect_err("the adapter accepted a malformed line").to_string();
    assert!(not_json.starts_with("line 2 is malformed") && !not_json.contains('\n'), "{not_json}");
    let without_id = run_on(&[START, REQUEST_WITHOUT_ID])
        .result
        .expect_err("the adapter accepted a request without an id")
        .to_string();
    assert!(without_id.contains("xid"));
    let not_started = run_on(&[REQUEST]).result;
    assert!(matches!(not_started, Err(SimulatorError::NotStarted(_))));
}
