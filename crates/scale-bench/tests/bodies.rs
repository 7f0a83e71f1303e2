//! Tests of the arguments of the subcommand `bodies`.

mod common {
    pub mod command;
}

use common::command::{assert_rejected_in_one_line, run};

#[test]
fn invalid_arguments_are_rejected_in_one_line() {
    for (arguments, part) in [
        (&["--clients", "0"][..], "--clients"),
        (&["--piece-bytes", "128,0"], "--piece-bytes"),
        (&["--message-bytes", "70000"], "--message-bytes"),
        (&["--kinds", "request,trailer"], "--kinds"),
        (&["--program", "/nowhere/at/all"], "/nowhere/at/all"),
        (&["--program", "/bin/true"], "exited unexpectedly"),
    ] {
        let line = assert_rejected_in_one_line(&run("bodies", arguments), arguments);
        assert!(line.contains(part), "{arguments:?}: {line}");
    }
}
