//! The list of app servers that an agent holds: its entries, its version and its latest changes.

use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

use super::mix;

/// Changes that are kept; a watch from before them is told the whole list.
const LOG_MOST: usize = 20_000;
/// The first address of an app server. Those below are left to everything else on this machine.
const FIRST_ADDRESS: u32 = 0x7f01_0000;
/// How many addresses there are from there on, so that none leaves 127.0.0.0/8 or is its last.
const ADDRESSES: u32 = 0x00fe_ffff;
/// Servers of one group (the protocol's `group`).
const GROUP_SIZE: u32 = 4;
/// The shortest name: `s-` and eight digits.
pub const NAME_LEAST: usize = 10;
const KINDS: [&str; 3] = ["m1", "m2", "m3"];

/// The condition of an app server, as discovery tells it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    /// In service.
    Up,
    /// Completes what it has and wants nothing new.
    Draining,
    /// Gone; only among changes.
    Removed,
}

/// An entry of the list, as the protocol has it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Identical at every edge node.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddrV4,
    /// Its zone's name.
    pub zone: String,
    /// Its kind of machine.
    #[serde(rename = "type")]
    pub kind: String,
    /// Its cell.
    pub group: u32,
    /// Its condition.
    pub status: Status,
    /// Its registered size.
    pub weight: f64,
    /// When it last started, in milliseconds of Unix time; 0 means long ago.
    pub since_ms: u64,
}

/// A list or what has changed in it, as the protocol has it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub struct Told {
    /// The version.
    pub index: u64,
    /// Whether it is the whole list.
    pub snapshot: bool,
    /// The entries.
    pub endpoints: Vec<Entry>,
}

/// What a list is made of.
#[derive(Debug, Clone)]
pub struct Shape {
    /// How many app servers it begins with.
    pub servers: u32,
    /// Gives the names and which app servers change.
    pub seed: u64,
    /// How many zones there are; each server is in one of them, in turn.
    pub zones: u32,
    /// Length of each name in bytes, from `NAME_LEAST`.
    pub name_length: usize,
    /// The port that all app servers listen at, each at an address of its own.
    pub port: u16,
}

/// The names of the zones.
pub fn zones(count: u32) -> Vec<String> {
    (0..count).map(|zone| format!("z{zone}")).collect()
}

/// The names of the kinds of machine.
pub fn kinds() -> &'static [&'static str] {
    &KINDS
}

/// The list with its latest changes.
pub struct ServerList {
    shape: Shape,
    zones: Vec<String>,
    /// How many servers there have ever been.
    made: u32,
    servers: Vec<Entry>,
    version: u64,
    /// What has changed, with the version that told it.
    log: VecDeque<(u64, Entry)>,
    /// The log holds all that is newer than this version.
    complete_from: u64,
    rng: StdRng,
    next: Step,
}

/// A server that is replaced: its successor starts, it drains, it goes.
enum Step {
    Start,
    Drain,
    Remove(usize),
}

impl ServerList {
    /// A list whose servers have all been up for long.
    pub fn new(shape: Shape) -> Self {
        let mut list = ServerList {
            zones: zones(shape.zones.max(1)),
            made: 0,
            servers: Vec::new(),
            version: 1,
            log: VecDeque::new(),
            complete_from: 1,
            rng: StdRng::seed_from_u64(mix(shape.seed, 1)),
            next: Step::Start,
            shape,
        };
        list.servers = (0..list.shape.servers).map(|_| list.make(0)).collect();
        list
    }

    /// The newest version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The servers that are not removed.
    pub fn servers(&self) -> &[Entry] {
        &self.servers
    }

    fn make(&mut self, since_ms: u64) -> Entry {
        let number = self.made;
        self.made = (self.made + 1) % ADDRESSES;
        // Odd, so no two numbers share a name.
        let spread = number.wrapping_add(self.shape.seed as u32).wrapping_mul(0x9e37_79b1);
        let mut name = format!("s-{spread:08x}");
        let mut filler = 0;
        while name.len() < self.shape.name_length {
            name += &format!("{:016x}", mix(u64::from(spread), filler));
            filler += 1;
        }
        name.truncate(self.shape.name_length.max(NAME_LEAST));
        Entry {
            name,
            address: SocketAddrV4::new(Ipv4Addr::from(FIRST_ADDRESS + number), self.shape.port),
            zone: self.zones[number as usize % self.zones.len()].clone(),
            kind: KINDS[mix(self.shape.seed, u64::from(number)) as usize % KINDS.len()].into(),
            group: number / GROUP_SIZE,
            status: Status::Up,
            weight: 1.0,
            since_ms,
        }
    }

    /// Makes the next change: a server starts, another one drains, it is removed, and so on in turn.
    pub fn change(&mut self, now_ms: u64) {
        let (told, next) = match self.next {
            Step::Start => {
                let entry = self.make(now_ms);
                self.servers.push(entry.clone());
                (entry, Step::Drain)
            }
            Step::Drain => {
                // The last one has just started.
                let at = self.rng.random_range(0..self.servers.len() - 1);
                self.servers[at].status = Status::Draining;
                (self.servers[at].clone(), Step::Remove(at))
            }
            Step::Remove(at) => {
                let entry = Entry { status: Status::Removed, ..self.servers.swap_remove(at) };
                (entry, Step::Start)
            }
        };
        self.next = next;
        self.version += 1;
        self.log.push_back((self.version, told));
        if self.log.len() > LOG_MOST {
            if let Some((version, _)) = self.log.pop_front() {
                self.complete_from = version;
            }
        }
    }

    /// Puts as many other servers, up for long, in the place of all; who watches is told the whole list.
    pub fn replace_all(&mut self) {
        self.servers = (0..self.servers.len()).map(|_| self.make(0)).collect();
        self.next = Step::Start;
        self.forget();
    }

    /// A new version from which no changes lead back: who watches is told the whole list.
    pub fn forget(&mut self) {
        self.version += 1;
        self.complete_from = self.version;
        self.log.clear();
    }

    /// Whether changes can be told to one who has this version; if not, it needs the whole list.
    pub fn leads_from(&self, after: u64) -> bool {
        (self.complete_from..=self.version).contains(&after)
    }

    /// What has changed after this version: the newest entry of each server, in the order of changes.
    pub fn changes(&self, after: u64) -> Told {
        let newer = || self.log.iter().filter(|(version, _)| *version > after);
        let newest: BTreeMap<&str, u64> = newer().map(|(version, e)| (e.name.as_str(), *version)).collect();
        let last = newer().filter(|(version, e)| newest.get(e.name.as_str()) == Some(version));
        Told { index: self.version, snapshot: false, endpoints: last.map(|(_, e)| e.clone()).collect() }
    }

    /// The whole list.
    pub fn whole(&self) -> Told {
        Told { index: self.version, snapshot: true, endpoints: self.servers.clone() }
    }
}
