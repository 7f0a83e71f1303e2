//! What the kernel reports of the node's process and sockets.

use std::fs::read_to_string;
use std::net::SocketAddr;

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

/// Returns for each client how many bytes on their way to it are in the buffers of the kernel, at both ends of
/// its connection. Reading the kernel's table takes some 20 ms, so this is read once for all clients.
pub fn buffered_bytes_to(clients: &[SocketAddr]) -> Vec<usize> {
    let rows = connections();
    let buffered = |client: &SocketAddr| {
        let at_client = rows.iter().filter(|row| row.local_port == client.port());
        let at_node = rows.iter().filter(|row| row.remote_port == client.port());
        let unread: usize = at_client.map(|row| row.unread_bytes).sum();
        unread + at_node.map(|row| row.unacknowledged_bytes).sum::<usize>()
    };
    clients.iter().map(buffered).collect()
}

/// A connection in the kernel's table.
struct ConnectionRow {
    local_port: u16,
    remote_port: u16,
    /// Bytes that were written and that the peer's kernel has not acknowledged.
    unacknowledged_bytes: usize,
    unread_bytes: usize,
}

/// Returns all TCP connections of the machine.
fn connections() -> Vec<ConnectionRow> {
    let table = read_to_string("/proc/net/tcp").expect("failed to read the table of connections");
    table.lines().filter_map(parse_row).collect()
}

/// Parses a row such as `0: 0100007F:1F90 0100007F:C350 01 00000000:00000000 ...`: addresses, the state, and
/// the lengths of the sending and the receiving queue, as hexadecimal numbers. Returns `None` for the heading.
fn parse_row(line: &str) -> Option<ConnectionRow> {
    let fields: Vec<&str> = line.split_whitespace().collect();
    let [_, local, remote, _, queues, ..] = fields.as_slice() else { return None };
    let (unacknowledged, unread) = queues.split_once(':')?;
    let port = |address: &str| u16::from_str_radix(address.split_once(':')?.1, 16).ok();
    Some(ConnectionRow {
        local_port: port(local)?,
        remote_port: port(remote)?,
        unacknowledged_bytes: usize::from_str_radix(unacknowledged, 16).ok()?,
        unread_bytes: usize::from_str_radix(unread, 16).ok()?,
    })
}
