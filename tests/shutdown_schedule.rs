//! The timetable of a planned stop.

use std::time::Duration;

use edge_node::net::shutdown_schedule::{ShutdownSchedule, MIN_FLUSH_TIME};

#[test]
fn whatever_the_deadlines_each_step_has_its_time_and_all_is_over_before_the_kill() {
    for ms in (0..5_000).step_by(10) {
        let kill = Duration::from_millis(ms.min(3_000) + 700);
        let t = ShutdownSchedule::new(Duration::from_millis(ms));
        assert!(t.close_idle_at > Duration::from_millis(400), "new connections come until then");
        assert!(
            t.close_idle_at < t.close_listener_at && t.close_listener_at <= t.fail_requests_at,
            "deadlines of {ms} ms"
        );
        assert!(
            t.fail_requests_at + MIN_FLUSH_TIME <= t.exit_at && t.exit_at + MIN_FLUSH_TIME <= kill,
            "deadlines of {ms} ms"
        );
    }
}
