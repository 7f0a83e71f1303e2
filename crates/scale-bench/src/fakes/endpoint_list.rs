//! The endpoint list that a fake discovery agent holds: its entries, its version and its latest changes.

use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

use super::hash::mix;

/// Changes that are kept; a watch from before them gets a snapshot.
const MAX_LOGGED_CHANGES: usize = 20_000;
/// The first address of an endpoint. Those below are left to everything else on this machine.
const FIRST_ADDRESS: u32 = 0x7f01_0000;
/// How many addresses there are from there on, so that all lie in 127.0.0.0/8 and none is its last.
const ADDRESSES: u32 = 0x00fe_ffff;
/// Endpoints of one cell (the protocol's `group`).
const CELL_SIZE: u32 = 4;
/// The shortest name: `s-` and eight digits.
pub const MIN_NAME_LENGTH: usize = 10;
const MACHINE_KINDS: [&str; 3] = ["m1", "m2", "m3"];

/// The status of an endpoint, as discovery publishes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    /// In service.
    Up,
    /// Completes its requests and takes no more.
    Draining,
    /// Not in service any more; only in changes.
    Removed,
}

/// An entry of the list, as the protocol has it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListEntry {
    /// Identical at every edge node.
    pub name: String,
    /// Where the endpoint listens.
    pub address: SocketAddrV4,
    /// The name of its zone.
    pub zone: String,
    /// Its kind of machine.
    #[serde(rename = "type")]
    pub machine_kind: String,
    /// Its cell.
    #[serde(rename = "group")]
    pub cell: u32,
    /// Its status.
    pub status: Status,
    /// Its registered capacity.
    pub weight: f64,
    /// When it last started, in milliseconds of Unix time; 0 means long ago.
    #[serde(rename = "since_ms")]
    pub started_at_ms: u64,
}

/// A snapshot or a delta of the list, as the protocol has it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub struct ListMessage {
    /// The version that it leads to.
    #[serde(rename = "index")]
    pub version: u64,
    /// Whether it is the whole list.
    #[serde(rename = "snapshot")]
    pub is_snapshot: bool,
    /// The entries.
    pub endpoints: Vec<ListEntry>,
}

/// What a list is made of.
#[derive(Debug, Clone)]
pub struct ListShape {
    /// How many endpoints it has at first.
    pub endpoints: u32,
    /// Gives the names and which endpoints change.
    pub seed: u64,
    /// How many zones there are; endpoints are dealt out to them in turn.
    pub zones: u32,
    /// Length of each name in bytes, at least [`MIN_NAME_LENGTH`].
    pub name_length: usize,
    /// The port that all endpoints listen at, each at an address of its own.
    pub port: u16,
}

/// The names of the zones.
pub fn zone_names(count: u32) -> Vec<String> {
    (0..count).map(|zone| format!("z{zone}")).collect()
}

/// The names of the kinds of machine.
pub fn machine_kinds() -> &'static [&'static str] {
    &MACHINE_KINDS
}

struct LoggedChange {
    /// The version that it led to.
    version: u64,
    entry: ListEntry,
}

/// The next step of replacing an endpoint: its successor starts, it drains, it is removed.
enum ReplacementStep {
    Start,
    Drain,
    Remove { index: usize },
}

/// The list with its latest changes.
pub struct EndpointList {
    shape: ListShape,
    zones: Vec<String>,
    /// How many endpoints there have ever been.
    created: u32,
    entries: Vec<ListEntry>,
    version: u64,
    changes: VecDeque<LoggedChange>,
    /// The logged changes lead on from every version from this one on.
    oldest_base: u64,
    random: StdRng,
    next_step: ReplacementStep,
}

impl EndpointList {
    /// Creates a list whose endpoints have all been up for long.
    pub fn new(shape: ListShape) -> Self {
        let mut list = EndpointList {
            zones: zone_names(shape.zones.max(1)),
            created: 0,
            entries: Vec::new(),
            version: 1,
            changes: VecDeque::new(),
            oldest_base: 1,
            random: StdRng::seed_from_u64(mix(shape.seed, 1)),
            next_step: ReplacementStep::Start,
            shape,
        };
        list.entries = list.new_entries(list.shape.endpoints as usize);
        list
    }

    /// The newest version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The endpoints that are not removed.
    pub fn entries(&self) -> &[ListEntry] {
        &self.entries
    }

    /// Makes the next change: an endpoint starts, another one drains, that one is removed, and so on in turn.
    pub fn make_next_change(&mut self, now_ms: u64) {
        let entry = match self.next_step {
            ReplacementStep::Start => {
                let entry = self.new_entry(now_ms);
                self.entries.push(entry.clone());
                self.next_step = ReplacementStep::Drain;
                entry
            }
            ReplacementStep::Drain => {
                // The last one has just started.
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

    /// Replaces all endpoints by as many others that have been up for long; watches get a snapshot.
    pub fn replace_all(&mut self) {
        self.entries = self.new_entries(self.entries.len());
        self.next_step = ReplacementStep::Start;
        self.discard_changes();
    }

    /// Makes a new version to which no changes lead: watches get a snapshot.
    pub fn discard_changes(&mut self) {
        self.version += 1;
        self.oldest_base = self.version;
        self.changes.clear();
    }

    /// Whether the logged changes lead on from this version; if not, its holder needs a snapshot.
    pub fn has_delta_from(&self, version: u64) -> bool {
        (self.oldest_base..=self.version).contains(&version)
    }

    /// The changes after this version: the newest entry of each endpoint, in the order of changes.
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

    /// The whole list.
    pub fn snapshot(&self) -> ListMessage {
        ListMessage { version: self.version, is_snapshot: true, endpoints: self.entries.clone() }
    }

    fn log_change(&mut self, entry: ListEntry) {
        self.version += 1;
        self.changes.push_back(LoggedChange { version: self.version, entry });
        if self.changes.len() > MAX_LOGGED_CHANGES {
            if let Some(dropped) = self.changes.pop_front() {
                self.oldest_base = dropped.version;
            }
        }
    }

    fn new_entries(&mut self, count: usize) -> Vec<ListEntry> {
        (0..count).map(|_| self.new_entry(0)).collect()
    }

    fn new_entry(&mut self, started_at_ms: u64) -> ListEntry {
        let number = self.created;
        self.created = (self.created + 1) % ADDRESSES;
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

    /// The name of the endpoint with this number, filled up to the length that was asked for.
    fn name(&self, number: u32) -> String {
        // The factor is odd, so no two numbers share a name.
        let spread = number.wrapping_add(self.shape.seed as u32).wrapping_mul(0x9e37_79b1);
        let mut name = format!("s-{spread:08x}");
        let mut filler = 0;
        while name.len() < self.shape.name_length {
            name += &format!("{:016x}", mix(u64::from(spread), filler));
            filler += 1;
        }
        name.truncate(self.shape.name_length.max(MIN_NAME_LENGTH));
        name
    }
}
