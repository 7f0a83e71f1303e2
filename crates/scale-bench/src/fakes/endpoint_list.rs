//! The endpoint list of the fake discovery agent: its entries, its version and its latest changes.

use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

use super::hash::mix;

/// Limit on the changes that are kept for deltas. A watch from an older version gets a snapshot.
const MAX_LOGGED_CHANGES: usize = 20_000;
/// The first address of an endpoint, 127.1.0.0. Other programs of this machine may use those below.
const FIRST_ADDRESS: u32 = 0x7f01_0000;
/// Number of endpoint addresses from [`FIRST_ADDRESS`] on: all in 127.0.0.0/8, without its last address.
const ADDRESS_COUNT: u32 = 0x00fe_ffff;
/// Number of endpoints in one cell; the protocol calls the cell `group`.
const CELL_SIZE: u32 = 4;
/// The shortest name of an endpoint, in bytes: `s-` and eight hex digits.
pub const MIN_NAME_LENGTH: usize = 10;
const MACHINE_KINDS: [&str; 3] = ["m1", "m2", "m3"];

/// The status of an endpoint, as discovery publishes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    /// The endpoint is in service.
    Up,
    /// The endpoint completes its requests and accepts no new ones.
    Draining,
    /// The endpoint is no longer in service. Only deltas hold entries with this status.
    Removed,
}

/// An entry of the list, in the form in which the protocol encodes it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListEntry {
    /// Name of the endpoint, the same at every edge node.
    pub name: String,
    /// Address on which the endpoint listens.
    pub address: SocketAddrV4,
    /// Name of the endpoint's zone.
    pub zone: String,
    /// Name of the endpoint's machine kind.
    #[serde(rename = "type")]
    pub machine_kind: String,
    /// Number of the endpoint's cell.
    #[serde(rename = "group")]
    pub cell: u32,
    /// Whether the endpoint is in service, draining or removed.
    pub status: Status,
    /// Registered capacity of the endpoint relative to others; 1 for every endpoint of the fake.
    pub weight: f64,
    /// Time of the endpoint's last start, in milliseconds of Unix time; 0 if that was long ago.
    #[serde(rename = "since_ms")]
    pub started_at_ms: u64,
}

/// A snapshot or a delta of the list, in the form in which the protocol encodes it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub struct ListMessage {
    /// Version of the list once the message has been applied.
    #[serde(rename = "index")]
    pub version: u64,
    /// Whether the message holds the whole list.
    #[serde(rename = "snapshot")]
    pub is_snapshot: bool,
    /// All entries of a snapshot; of a delta, the newest entry of each endpoint that changed.
    pub endpoints: Vec<ListEntry>,
}

/// The parameters from which a list is generated.
#[derive(Debug, Clone)]
pub struct ListShape {
    /// Number of endpoints that the list has at first.
    pub endpoints: u32,
    /// Seed of the endpoints' names and machine kinds, and of the choice of endpoints that are replaced.
    pub seed: u64,
    /// Number of zones; 0 counts as 1. Endpoints are assigned to them in turn.
    pub zones: u32,
    /// Length of each name in bytes; one below [`MIN_NAME_LENGTH`] counts as [`MIN_NAME_LENGTH`].
    pub name_length: usize,
    /// Port on which every endpoint listens. Each one has its own address.
    pub port: u16,
}

/// Returns the names of the first `count` zones.
pub fn zone_names(count: u32) -> Vec<String> {
    (0..count).map(|zone| format!("z{zone}")).collect()
}

/// Returns the names of all machine kinds.
pub fn machine_kinds() -> &'static [&'static str] {
    &MACHINE_KINDS
}

struct LoggedChange {
    /// Version of the list right after the change.
    version: u64,
    entry: ListEntry,
}

/// The next step of a replacement: a new endpoint starts, an older one drains, the drained one is removed.
enum ReplacementStep {
    Start,
    Drain,
    Remove { index: usize },
}

/// The endpoint list with its version and its latest changes.
pub struct EndpointList {
    shape: ListShape,
    zones: Vec<String>,
    /// Number of the next new endpoint: how many there have been so far, modulo [`ADDRESS_COUNT`].
    next_number: u32,
    entries: Vec<ListEntry>,
    version: u64,
    changes: VecDeque<LoggedChange>,
    /// The oldest version from which the logged changes lead to the current one.
    oldest_delta_base: u64,
    random: StdRng,
    next_step: ReplacementStep,
}

impl EndpointList {
    /// Creates a list at version 1 whose endpoints all started long ago.
    pub fn new(shape: ListShape) -> Self {
        let mut list = EndpointList {
            zones: zone_names(shape.zones.max(1)),
            next_number: 0,
            entries: Vec::new(),
            version: 1,
            changes: VecDeque::new(),
            oldest_delta_base: 1,
            random: StdRng::seed_from_u64(mix(shape.seed, 1)),
            next_step: ReplacementStep::Start,
            shape,
        };
        list.entries = list.new_entries(list.shape.endpoints as usize);
        list
    }

    /// Returns the current version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the entries of all endpoints that are up or draining.
    pub fn entries(&self) -> &[ListEntry] {
        &self.entries
    }

    /// Makes the next change: in turn, an endpoint starts, another one drains, and that one is removed.
    ///
    /// `now_ms` is the start of a new endpoint, in milliseconds of Unix time.
    pub fn make_next_change(&mut self, now_ms: u64) {
        let entry = match self.next_step {
            ReplacementStep::Start => {
                let entry = self.new_entry(now_ms);
                self.entries.push(entry.clone());
                self.next_step = ReplacementStep::Drain;
                entry
            }
            ReplacementStep::Drain => {
                // The last entry is the endpoint that has just started; it is not drained.
                let index = self.random.random_range(0..self.entries.len() - 1);
                self.entries[index].status = Status::Draining;
                self.next_step = ReplacementStep::Remove { index };
                self.entries[index].clone()
            }
            ReplacementStep::Remove { index } => {
                self.next_step = ReplacementStep::Start;
                ListEntry { status: Status::Removed, ..self.entries.swap_remove(index) }
            }
        };
        self.log_change(entry);
    }

    /// Replaces all endpoints by as many others that started long ago. Watches get a snapshot.
    pub fn replace_all(&mut self) {
        self.entries = self.new_entries(self.entries.len());
        self.next_step = ReplacementStep::Start;
        self.discard_changes();
    }

    /// Starts a new version and discards the logged changes, so that watches get a snapshot.
    pub fn discard_changes(&mut self) {
        self.version += 1;
        self.oldest_delta_base = self.version;
        self.changes.clear();
    }

    /// Returns whether the logged changes lead from this version to the current one. If not, a client with
    /// this version needs a snapshot.
    pub fn has_delta_from(&self, version: u64) -> bool {
        (self.oldest_delta_base..=self.version).contains(&version)
    }

    /// Returns the changes after this version: the newest entry of each endpoint, in the order of changes.
    pub fn delta_from(&self, version: u64) -> ListMessage {
        let newer = || self.changes.iter().filter(|change| change.version > version);
        let mut newest: BTreeMap<&str, u64> = BTreeMap::new();
        for change in newer() {
            newest.insert(&change.entry.name, change.version);
        }
        let latest = newer().filter(|change| newest.get(change.entry.name.as_str()) == Some(&change.version));
        ListMessage {
            version: self.version,
            is_snapshot: false,
            endpoints: latest.map(|change| change.entry.clone()).collect(),
        }
    }

    /// Returns the whole list as a message.
    pub fn snapshot(&self) -> ListMessage {
        ListMessage { version: self.version, is_snapshot: true, endpoints: self.entries.clone() }
    }

    fn log_change(&mut self, entry: ListEntry) {
        self.version += 1;
        self.changes.push_back(LoggedChange { version: self.version, entry });
        if self.changes.len() > MAX_LOGGED_CHANGES {
            if let Some(dropped) = self.changes.pop_front() {
                self.oldest_delta_base = dropped.version;
            }
        }
    }

    fn new_entries(&mut self, count: usize) -> Vec<ListEntry> {
        (0..count).map(|_| self.new_entry(0)).collect()
    }

    fn new_entry(&mut self, started_at_ms: u64) -> ListEntry {
        let number = self.next_number;
        self.next_number = (self.next_number + 1) % ADDRESS_COUNT;
        let zone = number as usize % self.zones.len();
        let kind = mix(self.shape.seed, u64::from(number)) as usize % MACHINE_KINDS.len();
        ListEntry {
            name: self.name(number),
            address: SocketAddrV4::new(Ipv4Addr::from(FIRST_ADDRESS + number), self.shape.port),
            zone: self.zones[zone].clone(),
            machine_kind: MACHINE_KINDS[kind].into(),
            cell: number / CELL_SIZE,
            status: Status::Up,
            weight: 1.0,
            started_at_ms,
        }
    }

    /// Returns the name of the endpoint with this number, padded to the length that the shape asks for.
    fn name(&self, number: u32) -> String {
        // The factor is odd, so different numbers have different hashes and names.
        let hash = number.wrapping_add(self.shape.seed as u32).wrapping_mul(0x9e37_79b1);
        let mut name = format!("s-{hash:08x}");
        let mut padding_index = 0;
        while name.len() < self.shape.name_length {
            name += &format!("{:016x}", mix(u64::from(hash), padding_index));
            padding_index += 1;
        }
        name.truncate(self.shape.name_length.max(MIN_NAME_LENGTH));
        name
    }
}
