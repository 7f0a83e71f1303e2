//! Tests of the subcommand `node`, which measures one real edge node process: its arguments, its schedule of
//! requests, its figures, and the end of the processes that it starts.

mod common {
    pub mod command;
}

use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use common::command::{assert_rejected_in_one_line, run, PROGRAM};
use scale_bench::node::load::schedule::RequestSchedule;
use scale_bench::node::Options;
use scale_bench::report::Report;

/// Time limit for the start of a process; far longer than a start takes even on a slow machine.
const START_TIMEOUT: Duration = Duration::from_secs(60);

#[test]
fn same_seed_sends_the_same_requests() {
    let schedule = |seed| RequestSchedule::draw(&Options { seed, ..Options::default() });
    let first = schedule(1);
    assert_eq!(first.requests(), schedule(1).requests());
    assert_ne!(first.requests(), schedule(2).requests());
    let requests = first.requests();
    // The expected number is 1,300. A Poisson count differs from it by more than a tenth for one seed in
    // 10,000.
    assert!((1170..1430).contains(&requests.len()), "expected 1170 to 1429 requests, got {}", requests.len());
    assert!(requests.windows(2).all(|pair| pair[0].due <= pair[1].due));
    let with_quota = requests.iter().filter(|request| request.has_quota).count();
    let share = with_quota as f64 / requests.len() as f64;
    assert!(
        (0.4..0.6).contains(&share),
        "expected about half of the requests under a quota, got {with_quota}"
    );
}

#[test]
fn arguments_that_contradict_each_other_are_rejected_in_one_line() {
    for (arguments, part) in [
        (&["--me", "300"][..], "--me 300"),
        (&["--nodes", "1"], "--spread 2"),
        (&["--rate", "20000", "--load-s", "3600"], "--rate times"),
        (&["--rate", "20000", "--deadline-ms", "60000"], "the maximum is 16000"),
        (&["--replace-at-s", "11"], "--replace-at-s 11"),
        (&["--agent-silent-s", "2..11"], "--agent-silent-s 11"),
    ] {
        let line = assert_rejected_in_one_line(&run("node", arguments), arguments);
        assert!(line.contains(part), "{arguments:?}: {line}");
    }
}

#[test]
fn programs_that_fail_are_reported_in_one_line() {
    for (arguments, part) in [
        (&["--program", "/nowhere/at/all"][..], "/nowhere/at/all"),
        // This program exits at once.
        (&["--program", "/bin/true"], "exited unexpectedly"),
        // This program runs on without reporting a listen address.
        (&["--program", "/usr/bin/yes", "--ready-limit-s", "0.2"], "reported no listen address"),
    ] {
        let line = assert_rejected_in_one_line(&run("node", arguments), arguments);
        assert!(line.contains(part), "{arguments:?}: {line}");
    }
}

#[test]
fn arguments_out_of_bounds_are_rejected_with_their_name_and_value() {
    for arguments in [
        &["--rate", "0"],
        &["--rate", "NaN"],
        &["--servers", "1"],
        &["--counter-silent-s", "5..2"],
        &["--name-length", "9"],
        &["--work-times", "none"],
    ] {
        let line = assert_rejected_in_one_line(&run("node", arguments), arguments);
        assert!(line.contains(arguments[0]), "{arguments:?}: {line}");
        assert!(line.contains(arguments[1]), "{arguments:?}: {line}");
    }
}

/// Returns the ids of the processes whose parent is `parent_id`.
fn child_ids(parent_id: u32) -> Vec<u32> {
    let processes = std::fs::read_dir("/proc").expect("/proc should be listed").flatten();
    let ids = processes.filter_map(|entry| entry.file_name().to_str()?.parse().ok());
    ids.filter(|&id| parent_of(id) == Some(parent_id)).collect()
}

/// Returns the id of a process's parent. Returns `None` if the process has exited.
fn parent_of(process_id: u32) -> Option<u32> {
    let stat = std::fs::read_to_string(format!("/proc/{process_id}/stat")).ok()?;
    let after_name = stat.rsplit(')').next()?;
    after_name.split_whitespace().nth(1)?.parse().ok()
}

/// Waits until `parent` has started a child process with this name, and returns the child's id. The name is
/// checked because a child has its parent's name between `fork` and `exec`.
fn wait_for_child(parent: &Child, name: &str) -> u32 {
    let started_at = Instant::now();
    loop {
        for id in child_ids(parent.id()) {
            if std::fs::read_to_string(format!("/proc/{id}/comm")).is_ok_and(|text| text.trim_end() == name) {
                return id;
            }
        }
        assert!(started_at.elapsed() < START_TIMEOUT, "no child process was started within the time limit");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Without a handler for SIGTERM the signal would end scale-bench at once and leave the edge node's process
/// running.
#[test]
fn interrupted_run_leaves_no_process_behind() {
    let mut command = Command::new(PROGRAM);
    command.args(["node", "--program", "/usr/bin/yes"]).stdout(Stdio::null()).stderr(Stdio::piped());
    let bench = command.spawn().expect("scale-bench should start");
    let node = wait_for_child(&bench, "yes");
    let kill = Command::new("sh").args(["-c", &format!("kill -TERM {}", bench.id())]).status();
    assert!(kill.expect("sh should run").success());
    let output = bench.wait_with_output().expect("scale-bench should exit");
    let error_output = String::from_utf8(output.stderr).expect("standard error should be UTF-8");
    assert_eq!(output.status.code(), Some(1), "{error_output}");
    assert_eq!(error_output.lines().count(), 1, "{error_output}");
    assert!(error_output.contains("interrupted"), "{error_output}");
    assert!(!std::path::Path::new(&format!("/proc/{node}")).exists(), "process {node} is still there");
}

/// Builds the edge node's program and returns its path. Cargo does not build programs of other packages for a
/// test.
fn build_edge_node() -> String {
    let arguments = ["build", "--locked", "--workspace", "--bin", "edge-node", "--message-format", "json"];
    let output = Command::new(env!("CARGO")).args(arguments).output().expect("cargo should start");
    let text = String::from_utf8_lossy(&output.stdout);
    let executable = |line: &str| {
        let message: serde_json::Value = serde_json::from_str(line).ok()?;
        Some(message["executable"].as_str()?.to_string())
    };
    let program = text.lines().filter_map(executable).next_back();
    program
        .unwrap_or_else(|| panic!("cargo reported no program: {}", String::from_utf8_lossy(&output.stderr)))
}

/// Arguments of a short run. Its deadline is far longer than the run, so that a slow machine loses no
/// request, and a list replacement and list changes happen during its load.
const SHORT_RUN: &str = "--servers 12 --nodes 4 --me 3 --rate 60 --settle-s 0 --idle-s 0.3 --load-s 1 \
                         --deadline-ms 60000 --changes-per-s 10 --replace-at-s 0.5 --json";

#[test]
fn short_run_accounts_for_every_request() {
    let program = build_edge_node();
    let mut arguments = vec!["--program", &program];
    arguments.extend(SHORT_RUN.split_whitespace());
    let output = run("node", &arguments);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let report: Report =
        serde_json::from_slice(&output.stdout).expect("standard output should be a JSON report");
    let get = |name: &str| report.get(name).unwrap_or_else(|| panic!("the report has no figure {name}"));
    let answered: f64 = ["answered_200", "answered_429", "answered_503"].map(get).iter().sum();
    assert_eq!(answered, get("requests"), "{report:?}");
    assert!(answered > 20.0, "{report:?}");
    for name in
        ["answered_other", "wrong_body", "answered_late", "lost", "connection_errors", "strange_requests"]
    {
        assert_eq!(get(name), 0.0, "figure {name}");
    }
    assert!(get("answered_200") > 0.0);
    assert!(get("attempts_per_request") >= get("answered_200") / answered);
    for name in
        ["ready_s", "rss_mb", "handshakes", "servers_used", "counter_calls_per_request", "added_max_ms"]
    {
        assert!(get(name) > 0.0, "figure {name} is not above 0");
    }
    assert!(get("peak_mb") >= get("rss_mb"));
    assert!(get("added_max_ms") >= get("added_p50_ms"));
    assert!(get("added_from_sent_p99_ms") <= get("added_p99_ms"), "{report:?}");
    assert!(get("list_bytes") > 12.0 * 100.0, "{report:?}");
}
