//! The timetable of a planned stop.

use std::time::Duration;

use edge_node::net::shutdown_schedule::{ShutdownSchedule, FLUSH_LEAST};

#[test]
fn whatever_the_deadlines_each_step_has_its_time_and_all_is_over_before_the_kill() {
    for ms in (0..5_000).step_by(10) {
        let kill = Duration::from_millis(ms.min(3_000) + 700);
        let t = ShutdownSchedule::new(Duration::from_millis(ms));
        assert!(t.idle > Duration::from_millis(400), "new connections come until then");
        assert!(t.idle < t.deaf && t.deaf <= t.fail, "deadlines of {ms} ms");
        assert!(t.fail + FLUSH_LEAST <= t.end && t.end + FLUSH_LEAST <= kill, "deadlines of {ms} ms");
    }
}
