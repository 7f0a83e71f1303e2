//! What the kernel reports of the node's process and sockets.

use std::fs::read_to_string;
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

use super::TEST_TIMEOUT;

/// The kernel's number for the state of an established TCP connection.
const ESTABLISHED: &str = "01";
/// Pause between two looks at the kernel's table of connections.
const LOOK_INTERVAL: Duration = Duration::from_micros(500);

/// Returns the largest resident size of a process since its start, in bytes.
pub fn peak_resident_bytes(process_id: u32) -> usize {
    let path = format!("/proc/{process_id}/status");
    let status = read_to_string(path).expect("failed to read the status of the process");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next());
    let kilobytes: usize =
        kilobytes.and_then(|text| text.parse().ok()).expect("the status has no peak resident size");
    kilobytes * 1024
}

/// Waits until the process that listens at `address` has read all bytes that have arrived on the connections
/// it accepted.
pub fn wait_until_read_at(address: SocketAddr) {
    wait_until_read(|row| row.local_port == address.port());
}

/// Waits until the process that has connected to `address` has read all bytes that have arrived on these
/// connections.
pub fn wait_until_read_from(address: SocketAddr) {
    wait_until_read(|row| row.remote_port == address.port());
}

/// Returns how many bytes on their way to a client are in the buffers of the kernel, at both ends of its
/// connection.
pub fn buffered_bytes_to(client: SocketAddr) -> usize {
    let buffered = |row: ConnectionRow| match (row.local_port, row.remote_port) {
        (local, _) if local == client.port() => row.unread_bytes,
        (_, remote) if remote == client.port() => row.unacknowledged_bytes,
        _ => 0,
    };
    connections().map(buffered).sum()
}

/// A connection in the kernel's table.
struct ConnectionRow {
    local_port: u16,
    remote_port: u16,
    is_established: bool,
    /// Bytes that were written and that the peer's kernel has not acknowledged.
    unacknowledged_bytes: usize,
    unread_bytes: usize,
}

fn wait_until_read(is_watched: impl Fn(&ConnectionRow) -> bool) {
    let until = Instant::now() + TEST_TIMEOUT;
    while connections().any(|row| row.is_established && row.unread_bytes > 0 && is_watched(&row)) {
        assert!(Instant::now() < until, "the process did not read what had arrived");
        sleep(LOOK_INTERVAL);
    }
}

/// Returns all TCP connections of the machine.
fn connections() -> impl Iterator<Item = ConnectionRow> {
    let table = read_to_string("/proc/net/tcp").expect("failed to read the table of connections");
    let rows: Vec<ConnectionRow> = table.lines().filter_map(parse_row).collect();
    rows.into_iter()
}

/// Parses a row such as `0: 0100007F:1F90 0100007F:C350 01 00000000:00000000 ...`: addresses, the state, and
/// the lengths of the sending and the receiving queue. Returns `None` for the heading.
fn parse_row(line: &str) -> Option<ConnectionRow> {
    let fields: Vec<&str> = line.split_whitespace().collect();
    let [_, local, remote, state, queues, ..] = fields.as_slice() else { return None };
    let (unacknowledged, unread) = queues.split_once(':')?;
    let port = |address: &str| u16::from_str_radix(address.split_once(':')?.1, 16).ok();
    Some(ConnectionRow {
        local_port: port(local)?,
        remote_port: port(remote)?,
        is_established: *state == ESTABLISHED,
        unacknowledged_bytes: usize::from_str_radix(unacknowledged, 16).ok()?,
        unread_bytes: usize::from_str_radix(unread, 16).ok()?,
    })
}
