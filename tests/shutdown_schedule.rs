//! The steps of a graceful shutdown must keep their order and end before the process is killed, for any
//! timeout.
//!
//! With short timeouts, times that are counted back from the kill would precede the close of the listener.

use std::time::Duration;

use edge_node::net::shutdown_schedule::{ShutdownSchedule, MIN_FLUSH_TIME};

#[test]
fn shutdown_steps_keep_their_order_and_precede_the_kill_for_any_timeout() {
    for timeout_ms in (0..5_000).step_by(10) {
        let killed_at = Duration::from_millis(timeout_ms.min(3_000) + 700);
        let schedule = ShutdownSchedule::new(Duration::from_millis(timeout_ms));
        assert!(
            schedule.close_idle_at > Duration::from_millis(400),
            "idle connections closed before the last new ones arrive"
        );
        assert!(
            schedule.close_idle_at < schedule.close_listener_at,
            "listener closed too early with timeouts of {timeout_ms} ms"
        );
        assert!(
            schedule.close_listener_at <= schedule.fail_requests_at,
            "requests failed too early with timeouts of {timeout_ms} ms"
        );
        assert!(
            schedule.fail_requests_at + MIN_FLUSH_TIME <= schedule.exit_at,
            "exit too soon after the requests failed, with timeouts of {timeout_ms} ms"
        );
        assert!(
            schedule.exit_at + MIN_FLUSH_TIME <= killed_at,
            "exit too close to the kill with timeouts of {timeout_ms} ms"
        );
    }
}
