//! Tests of the pauses between calls to discovery.

use std::time::Duration;

use edge_node::net::discovery::backoff::Backoff;

#[test]
fn pauses_double_up_to_the_longest_and_differ_between_nodes() {
    let first = Duration::from_secs(1);
    let longest = Duration::from_secs(8);
    let mut totals = Vec::new();
    for seed in 0..100 {
        let mut backoff = Backoff::new(seed, first, longest);
        let pauses: Vec<Duration> = (0..6).map(|_| backoff.next_pause()).collect();
        for (pause, nominal_secs) in pauses.iter().zip([1, 2, 4, 8, 8, 8]) {
            let nominal = Duration::from_secs(nominal_secs);
            assert!(
                (nominal / 2..=nominal * 3 / 2).contains(pause),
                "expected {nominal:?} within 50 percent, got {pause:?}"
            );
        }
        totals.push(pauses.iter().sum::<Duration>());
        backoff.reset();
        assert!(backoff.next_pause() <= first * 3 / 2);
        assert!(backoff.random_part_of(first) <= first);
    }
    totals.sort();
    let early = totals[10];
    let late = totals[90];
    assert!(
        late > early + Duration::from_secs(5),
        "expected 80 percent of the nodes to be spread over more than 5 s, got {:?}",
        late - early
    );
}
