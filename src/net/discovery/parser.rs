//! The endpoint list as discovery sends it: read entry by entry, so that a malformed one hides no other.

use std::borrow::Cow;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::de::{SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;

use crate::decision::EndpointState;

/// Faults of one list that are logged one by one; of the others only their number is logged. A list with a fault in
/// each entry would fill the log.
pub const MAX_LOGGED_FAULTS: usize = 5;

/// A list of endpoints, or a delta of it.
#[derive(Deserialize, Default)]
pub struct EndpointList {
    /// The version, as discovery counts.
    #[serde(rename = "index")]
    pub version: u64,
    /// Whether it is the full list, and not a delta.
    #[serde(rename = "snapshot", default)]
    pub is_snapshot: bool,
    endpoints: Option<ParsedEntries>,
}

impl EndpointList {
    /// Reads the text of a list. An entry that cannot be read is left out and counted among the faults.
    ///
    /// # Errors
    /// If the text is no list.
    pub fn read(text: &[u8]) -> serde_json::Result<EndpointList> {
        serde_json::from_slice(text)
    }

    /// Whether it has no entry at all.
    pub fn is_empty(&self) -> bool {
        self.endpoints.as_ref().is_none_or(ParsedEntries::is_empty)
    }

    /// Whether it can be applied. A full list without entries, or with none that can be read, would remove every
    /// endpoint. Of a delta, entries that cannot be read are passed over.
    pub fn is_usable(&self) -> bool {
        let Some(entries) = &self.endpoints else { return false };
        !self.is_snapshot || !entries.parsed.is_empty() || entries.faults.count() == 0
    }

    /// The entries that could be read, in the order of the list.
    pub fn entries(&self) -> &[ListEntry] {
        self.endpoints.as_ref().map_or(&[], |entries| &entries.parsed)
    }

    /// What was wrong with the others.
    pub fn faults(&self) -> &ListFaults {
        const NONE: &ListFaults = &ListFaults { messages: Vec::new(), unlisted: 0 };
        self.endpoints.as_ref().map_or(NONE, |entries| &entries.faults)
    }
}

/// An endpoint as a list has it.
pub struct ListEntry {
    /// Its name, the same at every node.
    pub name: Arc<str>,
    /// Where it is; none if the text is no address.
    pub address: Option<SocketAddr>,
    /// The zone's name.
    pub zone: Arc<str>,
    /// The name of its kind of machine.
    pub machine_kind: Arc<str>,
    /// Its cell.
    pub cell: u32,
    /// Its state; an unknown one counts as draining.
    pub state: EndpointState,
    /// Its capacity relative to other endpoints; 1 where the list has none.
    pub weight: f64,
    /// When it last started, in milliseconds of Unix time; 0: long ago.
    pub started_at_ms: u64,
}

/// What was wrong with entries of one list: how many faults, and the first few in words.
#[derive(Default)]
pub struct ListFaults {
    messages: Vec<String>,
    /// Faults beyond those in words.
    unlisted: usize,
}

impl ListFaults {
    /// Adds one.
    pub fn add(&mut self, fault: impl fmt::Display) {
        if self.messages.len() < MAX_LOGGED_FAULTS {
            self.messages.push(fault.to_string());
        } else {
            self.unlisted += 1;
        }
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.messages.len() + self.unlisted
    }

    /// Lines for the log, at most one more than [`MAX_LOGGED_FAULTS`].
    pub fn lines(&self) -> impl Iterator<Item = String> + '_ {
        let rest = format!("{} more entries of this list are at fault", self.unlisted);
        self.messages.iter().cloned().chain((self.unlisted > 0).then_some(rest))
    }
}

/// The entries of a list.
#[derive(Default)]
struct ParsedEntries {
    parsed: Vec<ListEntry>,
    faults: ListFaults,
}

impl ParsedEntries {
    fn is_empty(&self) -> bool {
        self.parsed.is_empty() && self.faults.count() == 0
    }

    fn add(&mut self, raw: RawEntry<'_>, labels: &mut SharedLabels) {
        let state = match &*raw.status {
            "up" => EndpointState::Active,
            "removed" => EndpointState::Removed,
            "draining" => EndpointState::Draining,
            unknown => {
                self.faults
                    .add(format_args!("{} has the unknown status {unknown:?}; taken as draining", raw.name));
                EndpointState::Draining
            }
        };
        self.parsed.push(ListEntry {
            name: raw.name.into(),
            address: raw.address.parse().ok(),
            zone: labels.shared(&raw.zone),
            machine_kind: labels.shared(&raw.machine_kind),
            cell: raw.cell,
            state,
            weight: raw.weight.unwrap_or(1.0),
            started_at_ms: raw.started_at_ms,
        });
    }
}

/// An entry as it is serialized.
#[derive(Deserialize)]
struct RawEntry<'a> {
    #[serde(borrow)]
    name: Cow<'a, str>,
    #[serde(borrow, default)]
    address: Cow<'a, str>,
    #[serde(borrow, default)]
    zone: Cow<'a, str>,
    #[serde(borrow, default, rename = "type")]
    machine_kind: Cow<'a, str>,
    #[serde(default, rename = "group")]
    cell: u32,
    #[serde(borrow)]
    status: Cow<'a, str>,
    weight: Option<f64>,
    #[serde(default, rename = "since_ms")]
    started_at_ms: u64,
}

impl<'de> Deserialize<'de> for ParsedEntries {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(EntriesVisitor)
    }
}

/// Reads each entry by itself.
struct EntriesVisitor;

impl<'de> Visitor<'de> for EntriesVisitor {
    type Value = ParsedEntries;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a list of endpoints")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<ParsedEntries, A::Error> {
        let mut entries = ParsedEntries::default();
        let mut labels = SharedLabels::default();
        while let Some(text) = sequence.next_element::<&RawValue>()? {
            match serde_json::from_str::<RawEntry<'_>>(text.get()) {
                Ok(raw) => entries.add(raw, &mut labels),
                Err(error) => entries.faults.add(format_args!("malformed entry left out: {error}")),
            }
        }
        entries.parsed.shrink_to_fit();
        Ok(entries)
    }
}

/// Names that many entries share, each kept once.
#[derive(Default)]
struct SharedLabels(BTreeSet<Arc<str>>);

impl SharedLabels {
    fn shared(&mut self, label: &str) -> Arc<str> {
        if let Some(known) = self.0.get(label) {
            return known.clone();
        }
        let shared = Arc::<str>::from(label);
        self.0.insert(shared.clone());
        shared
    }
}
