//! Tests of the fake counter service over a loopback connection.

mod common {
    pub mod connection;
}

use std::time::Duration;

use common::connection::Connection;
use scale_bench::fakes::counter_service::{CallCounts, CounterCapacity, CounterService};

/// A wait after which a counter with the shortest lifetime, 1 ms, has expired.
const AFTER_SHORTEST_LIFETIME: Duration = Duration::from_millis(20);

/// Encodes a call as a RESP2 array of bulk strings.
fn call(words: &[&str]) -> String {
    let mut text = format!("*{}\r\n", words.len());
    for word in words {
        text += &format!("${}\r\n{word}\r\n", word.len());
    }
    text
}

fn capacity(calls_per_second: f64) -> CounterCapacity {
    CounterCapacity { calls_per_second, delay: Duration::ZERO }
}

#[tokio::test]
async fn pipelined_calls_get_their_replies_in_order() {
    let service =
        CounterService::start(capacity(1000.0)).await.expect("the service should listen on a free port");
    let mut connection = Connection::open(service.address()).await;
    let longest_name = "n".repeat(64);
    let too_long_name = "n".repeat(65);
    let rows: [(&[&str], &[&str]); 12] = [
        (&["PING"], &["+PONG"]),
        (&["CLIENT", "SETNAME", "n0"], &["+OK"]),
        (&["SELECT", "0"], &["+OK"]),
        (&["INCRTTL", "a", "5", "60000"], &["$1", "5"]),
        (&["INCRTTL", "a", "-2.5", "60000"], &["$3", "2.5"]),
        (&["incrttl", &longest_name, "1", "1"], &["$1", "1"]),
        (&["INCRTTL", &too_long_name, "1", "1000"], &["-ERR"]),
        (&["INCRTTL", "a", "1e10", "1000"], &["-ERR"]),
        (&["INCRTTL", "a", "NaN", "1000"], &["-ERR"]),
        (&["INCRTTL", "a", "1", "0"], &["-ERR"]),
        (&["GET", "a"], &["-ERR"]),
        (&["INCRTTL", "a", "0", "60000"], &["$3", "2.5"]),
    ];
    connection.write(&rows.iter().map(|(words, _)| call(words)).collect::<String>()).await;
    for (words, reply) in rows {
        for expected in reply {
            let line = connection.read_line().await;
            let is_error = *expected == "-ERR" && line.starts_with("-ERR ");
            assert!(line == *expected || is_error, "{words:?}: unexpected reply line {line}");
        }
    }

    // An expired counter starts again at 0.
    tokio::time::sleep(AFTER_SHORTEST_LIFETIME).await;
    connection.write(&call(&["INCRTTL", &longest_name, "4", "1000"])).await;
    assert_eq!(connection.read_line().await, "$1");
    assert_eq!(connection.read_line().await, "4");

    // The reply that was withheld comes once the service is not silent any more.
    service.set_silent(true);
    connection.write(&call(&["INCRTTL", "a", "1", "1000"])).await;
    connection.assert_silent().await;
    service.set_silent(false);
    assert_eq!(connection.read_line().await, "$3");
    assert_eq!(connection.read_line().await, "3.5");
    assert_eq!(service.call_counts(), CallCounts { calls: 10, busy: 0 });
}

#[tokio::test]
async fn calls_beyond_the_capacity_get_busy() {
    // At a rate of 0, only the first call is accepted, because the burst is one call and is never refilled.
    let service =
        CounterService::start(capacity(0.0)).await.expect("the service should listen on a free port");
    let mut connection = Connection::open(service.address()).await;
    connection.write(&call(&["INCRTTL", "a", "1", "1000"]).repeat(3)).await;
    for expected in ["$1", "1", "-BUSY", "-BUSY"] {
        assert_eq!(connection.read_line().await, expected);
    }
    assert_eq!(service.call_counts(), CallCounts { calls: 3, busy: 2 });
}
