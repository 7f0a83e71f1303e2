//! The schedule of a graceful shutdown.

use std::time::Duration;

use edge_node::net::shutdown_schedule::{ShutdownSchedule, MIN_FLUSH_TIME};

#[test]
fn each_step_has_its_time_and_all_precede_the_kill_whatever_the_deadlines() {
    for deadline_ms in (0..5_000).step_by(10) {
        let killed_at = Duration::from_millis(deadline_ms.min(3_000) + 700);
        let schedule = ShutdownSchedule::new(Duration::from_millis(deadline_ms));
        assert!(schedule.close_idle_at > Duration::from_millis(400), "new connections arrive until then");
        assert!(schedule.close_idle_at < schedule.close_listener_at, "deadlines of {deadline_ms} ms");
        assert!(schedule.close_listener_at <= schedule.fail_requests_at, "deadlines of {deadline_ms} ms");
        assert!(
            schedule.fail_requests_at + MIN_FLUSH_TIME <= schedule.exit_at,
            "deadlines of {deadline_ms} ms"
        );
        assert!(schedule.exit_at + MIN_FLUSH_TIME <= killed_at, "deadlines of {deadline_ms} ms");
    }
}
